//! The leader's state, and its reaction to heartbeats and the passage of time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::time::Moment;

use super::authority::Authority;
use super::departure_table::DepartureTable;
use super::key_placement::PlacementState;
use super::peer::Peer;
use super::publishing::PublishedTables;
use super::range_map::RangeMap;
use super::record_sync::RecordSync;
use super::takeover::Takeover;
use crate::model::FencingToken;
use crate::model::Granting;
use crate::model::OperatorsIntent;
use crate::ownership::Action;
use crate::ownership::Directory;
use crate::ownership::LeaderRecord;
use crate::ownership::LeaderReply;
use crate::ownership::LeaseTimes;
use crate::ownership::Member;
use crate::ownership::NodeHeartbeat;
use crate::ownership::NodeIncarnation;
use crate::ownership::PeerMessage;

/// How long a leader that took over by handoff may take to be confirmed: three heartbeats of its
/// nodes.
const START_TIMEOUT: Duration = Duration::from_millis(1_300);

/// The nodes that the leader knows.
pub(in crate::ownership) type Peers = BTreeMap<NodeName, Peer>;

/// The state of one epoch of leadership. Only a handoff carries it over to another epoch.
#[derive(Clone, Debug)]
pub(in crate::ownership) struct Leader {
    pub(super) own_incarnation: NodeIncarnation,
    pub(super) times: LeaseTimes,
    pub(super) record: LeaderRecord,
    pub(super) authority: Authority,
    /// Present until all keys are accounted for.
    pub(super) takeover: Option<Takeover>,
    pub(super) record_sync: RecordSync,
    pub(super) peers: Peers,
    pub(super) range_maps: BTreeMap<ServiceName, RangeMap>,
    pub(super) placements: BTreeMap<ServiceName, PlacementState>,
    pub(super) last_fence: FencingToken,
    pub(super) tables: PublishedTables,
    pub(super) departures: DepartureTable,
    pub(super) intent: OperatorsIntent,
    /// The time up to which `intent` contains everything that was acknowledged.
    pub(super) intent_confirmed: Moment,
    /// When the leadership was handed over to this leader; none once it has authority of its own.
    pub(super) starting_since: Option<Moment>,
    /// Nodes that are still to be asked for a heartbeat, whose reply delivers a grant or tells that the
    /// departure of their server is stored.
    pub(super) heartbeat_requests: BTreeSet<NodeName>,
    /// Decisions to log: the event, and the inputs that decided it.
    pub(super) log_entries: Vec<(&'static str, String)>,
}

/// A claim of the leadership, and what its node needs once the claim has succeeded.
#[derive(Clone, Debug)]
pub(in crate::ownership) struct LeaderClaim {
    /// The record that the claim appends.
    pub(in crate::ownership) record: LeaderRecord,
    /// The record before it.
    pub(in crate::ownership) previous: Option<LeaderRecord>,
    /// Where the topic ends after the claim.
    pub(in crate::ownership) topic_end: u64,
    /// When the claim was last sent.
    pub(in crate::ownership) sent_at: Moment,
    /// Whether the store has not answered it, so that it may have been appended, or never.
    pub(in crate::ownership) is_unanswered: bool,
}

impl Leader {
    pub(in crate::ownership) fn new(
        now: Moment,
        claim: LeaderClaim,
        directory: &Directory,
        intent: OperatorsIntent,
        times: LeaseTimes,
    ) -> Self {
        let mut leader = Self::from_directory(now, claim.record, directory, intent, times);
        leader.authority = Authority::new(claim.sent_at);
        leader.takeover = Some(Takeover::new(now, claim.previous));
        leader.record_sync = RecordSync::new(now, claim.topic_end);
        leader
    }

    /// Creates a leader that knows only the nodes of the directory.
    pub(super) fn from_directory(
        now: Moment,
        record: LeaderRecord,
        directory: &Directory,
        intent: OperatorsIntent,
        times: LeaseTimes,
    ) -> Self {
        let mut tables = PublishedTables::default();
        let known = directory.members.values().map(|entry| {
            let changed = tables.next_version();
            let peer = Peer::from_table(now, entry.member.clone(), changed);
            (entry.member.incarnation.node.clone(), peer)
        });
        let peers = known.collect();
        Self {
            own_incarnation: record.leader.clone(),
            times,
            authority: Authority::new(now),
            takeover: None,
            record_sync: RecordSync::new(now, 0),
            last_fence: FencingToken::first_of(record.epoch.0),
            departures: DepartureTable::from_record(now, &record),
            record,
            peers,
            range_maps: BTreeMap::new(),
            placements: BTreeMap::new(),
            tables,
            intent,
            intent_confirmed: Moment::default(),
            starting_since: None,
            heartbeat_requests: BTreeSet::new(),
            log_entries: Vec::new(),
        }
    }

    /// Tells whether the leader may no longer act; it never may again in this epoch.
    pub(in crate::ownership) fn has_lapsed(&self, now: Moment) -> bool {
        let starting = self
            .starting_since
            .is_some_and(|since| now.since(since) < START_TIMEOUT);
        !starting && self.authority.remaining(now, &self.times).is_zero()
    }

    /// Takes the decisions that are to be logged.
    pub(in crate::ownership) fn take_log_entries(&mut self) -> Vec<(&'static str, String)> {
        std::mem::take(&mut self.log_entries)
    }

    pub(in crate::ownership) fn record(&self) -> &LeaderRecord {
        &self.record
    }

    pub(in crate::ownership) fn set_intent(&mut self, intent: OperatorsIntent) {
        self.intent = intent;
    }

    /// Sets the time up to which the intent contains everything that was acknowledged.
    pub(in crate::ownership) fn set_intent_confirmed(&mut self, at: Moment) {
        self.intent_confirmed = at;
    }

    /// Handles a node's heartbeat and replies to it.
    pub(in crate::ownership) fn handle_heartbeat(
        &mut self,
        now: Moment,
        from: SocketAddr,
        heartbeat: &NodeHeartbeat,
        actions: &mut Vec<Action>,
    ) {
        let node = heartbeat.member.incarnation.node.clone();
        let outdated = self.peers.get(&node).is_some_and(|peer| {
            peer.member.incarnation == heartbeat.member.incarnation
                && heartbeat.sequence <= peer.sequence
        });
        if heartbeat.epoch != self.record.epoch || outdated {
            return;
        }
        let current = self.apply_heartbeat(now, &node, heartbeat);
        if self.has_unstored_departures() {
            self.sync_record(now, actions);
        }
        // The reply delivers the grants of this node.
        self.heartbeat_requests.remove(&node);
        self.request_heartbeats(actions);
        let lease = self.authority.remaining(now, &self.times);
        // Without authority only a new leader replies: it gains authority by acknowledged replies.
        if lease.is_zero() && self.starting_since.is_none() {
            return;
        }
        let assignment = match current && !lease.is_zero() {
            true => self.assignment(&node),
            false => None,
        };
        if let Some(assignment) = &assignment {
            self.extend_leases(now, &node, &assignment.server);
        }
        let reply = LeaderReply {
            epoch: self.record.epoch,
            leader: self.own_incarnation.clone(),
            incarnation: heartbeat.member.incarnation.nonce,
            sequence: heartbeat.sequence,
            sent_at: now.0,
            lease: milliseconds(lease),
            early_heartbeat: !current
                || self.expects_keys(&node)
                || self.has_unstored_departure(&node),
            assignment,
            update: self.update_for(heartbeat),
            intent_offset: self.intent.offset,
            // Rounded up, so that no node takes the intent for more recent than it is.
            intent_age: milliseconds(now.since(self.intent_confirmed)).saturating_add(1),
            departures: self
                .record
                .departure_of(&node)
                .cloned()
                .into_iter()
                .collect(),
        };
        if heartbeat.intent_offset > self.intent.offset {
            actions.push(Action::FetchIntent(heartbeat.member.traffic));
        }
        actions.push(Action::Send(from, PeerMessage::Reply(Box::new(reply))));
    }

    /// Applies a heartbeat if it comes from the node's current incarnation, and tells whether it
    /// does.
    fn apply_heartbeat(&mut self, now: Moment, node: &NodeName, heartbeat: &NodeHeartbeat) -> bool {
        let peer = self.peers.get_mut(node);
        let current = peer.is_none_or(|peer| peer.is_current(now, heartbeat));
        if current {
            self.record_heartbeat(now, node, heartbeat);
        }
        self.update_authority(now);
        if current {
            self.record_departures(now, heartbeat);
            self.update_ranges(now, node, heartbeat);
            self.replace_stale_grants(node, heartbeat);
            self.account_for_grants(now);
            self.place_keys(now);
        }
        self.expire_leases(now);
        current
    }

    /// Performs the work that depends on time.
    pub(in crate::ownership) fn tick(&mut self, now: Moment, actions: &mut Vec<Action>) {
        self.update_authority(now);
        self.expire_leases(now);
        self.account_for_grants(now);
        self.place_keys(now);
        self.request_heartbeats(actions);
        self.expire_silent_peers(now);
        self.sync_record(now, actions);
        self.contact_silent_peers(now, actions);
    }

    fn record_heartbeat(&mut self, now: Moment, node: &NodeName, heartbeat: &NodeHeartbeat) {
        let is_next_process = self.peers.get(node).is_some_and(|peer| {
            peer.last_heartbeat.is_some() && peer.member.incarnation != heartbeat.member.incarnation
        });
        if is_next_process && heartbeat.granting == Granting::ByCall {
            self.raise_tokens(node, &heartbeat.member.service);
        }
        let peer = self.peers.entry(node.clone()).or_insert_with(|| {
            let mut peer = Peer::from_table(now, heartbeat.member.clone(), 0);
            peer.published_responsive = false;
            peer
        });
        if peer.record_heartbeat(now, heartbeat) {
            peer.change_version = self.tables.next_version();
        }
    }

    fn update_authority(&mut self, now: Moment) {
        if let Some(takeover) = &mut self.takeover {
            takeover.update_majority(now, &self.peers, &self.times);
        }
        let confirmed_at = self
            .record_sync
            .majority_confirmed_at(&self.record, &self.peers);
        self.authority.confirm_by_majority(confirmed_at);
        let store_suffices = self.record.store_suffices && self.record_sync.allows_store_alone();
        self.authority
            .set_store_suffices(now, store_suffices, &self.times);
        if !self.authority.remaining(now, &self.times).is_zero() {
            self.starting_since = None;
        }
    }

    /// Returns the members whose heartbeats this leader receives.
    pub(in crate::ownership) fn responsive_members(
        &self,
        now: Moment,
    ) -> impl Iterator<Item = &Member> {
        self.peers
            .values()
            .filter(move |peer| peer.is_responsive(now))
            .map(|peer| &peer.member)
    }
}

fn milliseconds(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
