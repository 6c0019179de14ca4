//! The controller of a cell.

mod assignment;
mod authority;
mod balance;
mod calls;
mod heartbeats;
mod leases;
mod moves;
mod placement;
mod planned_move;
mod records;
mod routing_book;
mod routing_wanted;
mod seat;
mod slice_entry;
mod slice_state;
mod takeover;

use assignment::Assignment;
use authority::Authority;
use balance::Balance;
use planned_move::PlannedMove;
use routing_book::RoutingBook;
use seat::Seat;
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

/// How often the books are compared while nothing changes but time.
const IDLE_PERIOD: Duration = Duration::from_millis(100);
/// How often the books are compared with the document and the routing table with the books, while
/// they change. Comparing at every message would cost a large cell's controller most of its time.
const GOVERN_PERIOD: Duration = Duration::from_millis(10);

/// Grants leases while a majority of voters acknowledges it.
#[derive(Debug)]
pub(super) struct Controller {
    ballot: Ballot,
    opened: Moment,
    term: Arc<TermState>,
    authority: Authority,
    established: Option<Moment>,
    seats: BTreeMap<NodeName, Seat>,
    slices: BTreeMap<SliceId, SliceEntry>,
    fences: BTreeMap<Fence, SliceId>,
    sequence: Sequence,
    routing: RoutingBook,
    divisions: Divisions,
    /// The intent whose divisions have been explained.
    explained: Option<Version>,
    balance: Balance,
    called: Option<Moment>,
    governed: Option<Moment>,
    /// Whether the books have changed since the routing table was last compared with them.
    touched: bool,
    planned: Option<Moment>,
    checkpointed: Option<Moment>,
    /// Whether the log was out of reach since the last checkpoint.
    log_lost: bool,
    succession_due: Option<Moment>,
    claimed: Option<Moment>,
}

impl Controller {
    /// Opens a controller that has no majority yet.
    pub(super) fn open(context: &Context<'_>, ballot: Ballot, term: Arc<TermState>) -> Self {
        let mut controller = Self {
            ballot,
            opened: context.now,
            authority: Authority::open(term.voter_sets()),
            established: None,
            seats: BTreeMap::new(),
            slices: BTreeMap::new(),
            fences: BTreeMap::new(),
            sequence: Sequence(0),
            routing: RoutingBook::open(ballot),
            explained: None,
            divisions: Divisions::collect(context, Some(&term)),
            balance: Balance::default(),
            called: None,
            governed: None,
            touched: true,
            planned: None,
            checkpointed: None,
            log_lost: false,
            succession_due: None,
            claimed: None,
            term,
        };
        for member in controller.term.clone().claim.members.iter() {
            controller.admit(member);
        }
        for node in context.routing.nodes.values() {
            controller.admit(&node.member);
        }
        controller.admit(context.own);
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

    /// Does what is due and returns why the controller stands down, if it does.
    pub(super) fn advance(
        &mut self,
        context: &Context<'_>,
        out: &mut Outbox,
    ) -> Option<StandDownReason> {
        for member in context.log.joins() {
            self.admit(member);
        }
        self.narrow_quorums(context);
        if self.established.is_none() {
            self.try_establish(context, out);
        } else if !self.is_in_authority(context) {
            return Some(StandDownReason::MajorityLost);
        }
        self.call_nodes(context, out);
        if self.established.is_some() {
            self.govern(context, out);
        }
        None
    }

    /// Notes a voter's acknowledgement.
    pub(super) fn acknowledge(&mut self, node: &NodeName, round: u64) {
        self.authority.acknowledge(node, round);
    }

    /// Tells whether grants and renewals may be given at this moment.
    ///
    /// Without this bound a controller that is cut off, or was paused, would go on renewing beside
    /// its successor, and a key would have two owners.
    fn is_in_authority(&self, context: &Context<'_>) -> bool {
        if !context.rules.fresh_majority {
            return self.authority.confirmed().is_some();
        }
        self.authority.is_valid(context.now, self.times().lease())
    }

    fn govern(&mut self, context: &Context<'_>, out: &mut Outbox) {
        self.settle_leases(context, out);
        self.grant_free(context, out);
        let period = if self.touched {
            GOVERN_PERIOD
        } else {
            IDLE_PERIOD
        };
        let due = self
            .governed
            .is_none_or(|governed| context.now.since(governed) >= period);
        if due {
            self.governed = Some(context.now);
            self.touched = false;
            self.sync_slices(context);
            self.explain_divisions(context, out);
            self.plan_moves(context, out);
            self.publish_routing(context, out);
        }
    }

    /// Takes a node into account that is not known in this life or a later one.
    fn admit(&mut self, member: &Member) {
        let known = self.seats.get(&member.node);
        if known.is_some_and(|seat| seat.member.incarnation >= member.incarnation) {
            return;
        }
        self.seats
            .insert(member.node.clone(), Seat::open(member.clone()));
    }

    /// Explains that the controller stands down.
    pub(super) fn explain_stand_down(&self, reason: StandDownReason, out: &mut Outbox) {
        out.explain(Happening::ControllerStoodDown {
            term: self.ballot.term,
            rank: self.ballot.rank,
            reason,
        });
    }
}
