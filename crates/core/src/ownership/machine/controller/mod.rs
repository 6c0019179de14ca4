//! The controller of a cell.

mod announcements;
mod assignment;
mod authority;
mod balance;
mod heartbeats;
mod leases;
mod moves;
mod peer_entry;
mod placement;
mod planned_move;
mod records;
mod routing_history;
mod routing_table;
mod slice_entry;
mod slice_state;
mod takeover;

use assignment::Assignment;
use authority::Authority;
use balance::Balance;
use peer_entry::PeerEntry;
use planned_move::PlannedMove;
use routing_history::RoutingHistory;
use slice_entry::SliceEntry;
use slice_state::SliceState;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::Context;
use super::Divisions;
use super::Outbox;
use super::build_claim;
use super::choose_voters;
use super::interleave_zones;
use crate::cluster::Member;
use crate::explain::Happening;
use crate::explain::StandDownReason;
use crate::ids::Fence;
use crate::ids::NodeName;
use crate::ids::Sequence;
use crate::ids::SliceId;
use crate::ids::Version;
use crate::ownership::Ballot;
use crate::ownership::LeaseTimes;
use crate::ownership::record::TermState;
use crate::time::Moment;

/// Interval between updates of the slices and the routing table while no state changes.
const IDLE_UPDATE_PERIOD: Duration = Duration::from_millis(100);
/// Interval between updates of the slices and the routing table while state changes. An update for
/// every message would take most of the time of a large cluster's controller.
const BUSY_UPDATE_PERIOD: Duration = Duration::from_millis(10);

/// Grants leases as long as a majority of the voters acknowledges this controller.
#[derive(Debug)]
pub(super) struct Controller {
    ballot: Ballot,
    opened: Moment,
    term: Arc<TermState>,
    authority: Authority,
    established: Option<Moment>,
    peers: BTreeMap<NodeName, PeerEntry>,
    slices: BTreeMap<SliceId, SliceEntry>,
    fences: BTreeMap<Fence, SliceId>,
    last_sequence: Sequence,
    routing: RoutingHistory,
    divisions: Divisions,
    /// The intent version for which differing slice counts have been reported.
    explained_version: Option<Version>,
    balance: Balance,
    last_announcements: Option<Moment>,
    last_update: Option<Moment>,
    /// Whether peers or slices have changed since the last update.
    changed: bool,
    last_plan: Option<Moment>,
    last_checkpoint: Option<Moment>,
    /// Whether the log has been unreachable since the last checkpoint.
    log_outage: bool,
    claim_due: Option<Moment>,
    last_claim: Option<Moment>,
}

impl Controller {
    /// Creates a controller that has no majority yet.
    pub(super) fn open(context: &Context<'_>, ballot: Ballot, term: Arc<TermState>) -> Self {
        let mut controller = Self {
            ballot,
            opened: context.now,
            authority: Authority::open(term.voter_sets()),
            established: None,
            peers: BTreeMap::new(),
            slices: BTreeMap::new(),
            fences: BTreeMap::new(),
            last_sequence: Sequence(0),
            routing: RoutingHistory::open(ballot),
            explained_version: None,
            divisions: Divisions::collect(context, Some(&term)),
            balance: Balance::default(),
            last_announcements: None,
            last_update: None,
            changed: true,
            last_plan: None,
            last_checkpoint: None,
            log_outage: false,
            claim_due: None,
            last_claim: None,
            term,
        };
        for member in controller.term.clone().claim.members.iter() {
            controller.add_peer(member);
        }
        for node in context.routing.nodes.values() {
            controller.add_peer(&node.member);
        }
        controller.add_peer(context.own);
        controller
    }

    pub(super) fn ballot(&self) -> Ballot {
        self.ballot
    }

    pub(super) fn term(&self) -> &Arc<TermState> {
        &self.term
    }

    pub(super) fn is_established(&self) -> bool {
        self.established.is_some()
    }

    fn times(&self) -> LeaseTimes {
        self.term.claim.times
    }

    /// Performs all due work. Returns the reason if the controller has to stand down.
    pub(super) fn advance(
        &mut self,
        context: &Context<'_>,
        out: &mut Outbox,
    ) -> Option<StandDownReason> {
        for member in context.log.joins() {
            self.add_peer(member);
        }
        self.narrow_voter_sets(context);
        if self.established.is_none() {
            self.try_establish(context, out);
        } else if !self.has_authority(context) {
            return Some(StandDownReason::MajorityLost);
        }
        self.send_announcements(context, out);
        if self.established.is_some() {
            self.manage_slices(context, out);
        }
        None
    }

    /// Records that a voter acknowledged a round.
    pub(super) fn acknowledge(&mut self, node: &NodeName, round: u64) {
        self.authority.acknowledge(node, round);
    }

    /// Returns whether the controller may grant and renew leases at this moment.
    ///
    /// Without this bound a partitioned or paused controller would go on renewing leases alongside
    /// its successor, and a key would have two owners.
    fn has_authority(&self, context: &Context<'_>) -> bool {
        if !context.rules.fresh_majority {
            return self.authority.confirmed_at().is_some();
        }
        self.authority.is_valid(context.now, self.times().lease())
    }

    fn manage_slices(&mut self, context: &Context<'_>, out: &mut Outbox) {
        self.expire_leases(context, out);
        self.grant_free_slices(context, out);
        let period = if self.changed {
            BUSY_UPDATE_PERIOD
        } else {
            IDLE_UPDATE_PERIOD
        };
        let due = self
            .last_update
            .is_none_or(|updated| context.now.since(updated) >= period);
        if due {
            self.last_update = Some(context.now);
            self.changed = false;
            self.sync_slices(context);
            self.explain_divisions(context, out);
            self.plan_moves(context, out);
            self.publish_routing(context, out);
        }
    }

    /// Adds a node, or replaces the entry of an earlier incarnation.
    fn add_peer(&mut self, member: &Member) {
        let known = self.peers.get(&member.node);
        if known.is_some_and(|peer| peer.member.incarnation >= member.incarnation) {
            return;
        }
        self.peers
            .insert(member.node.clone(), PeerEntry::open(member.clone()));
    }

    /// Reports that the controller stands down.
    pub(super) fn explain_stand_down(&self, reason: StandDownReason, out: &mut Outbox) {
        out.explain(Happening::ControllerStoodDown {
            term: self.ballot.term,
            rank: self.ballot.rank,
            reason,
        });
    }
}
