//! The leader's state and its reaction to beats and time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::time::Moment;

use super::authority::Authority;
use super::ledger::Ledger;
use super::moves::MoveClock;
use super::peer::Peer;
use super::publishing::Tables;
use super::record_keeping::RecordKeeper;
use super::takeover::Takeover;
use crate::model::FencingToken;
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

/// How long a leader to whom the leadership was handed may take to be confirmed: three beats of its
/// nodes.
const STARTING: Duration = Duration::from_millis(1_300);

/// The nodes that the leader knows.
pub(in crate::ownership) type Peers = BTreeMap<NodeName, Peer>;

/// Is one term of leadership; a new one starts empty.
#[derive(Clone, Debug)]
pub(in crate::ownership) struct Leader {
    pub(super) me: NodeIncarnation,
    pub(super) times: LeaseTimes,
    pub(super) record: LeaderRecord,
    pub(super) authority: Authority,
    /// Gone once all keys are accounted for.
    pub(super) takeover: Option<Takeover>,
    pub(super) keeper: RecordKeeper,
    pub(super) peers: Peers,
    pub(super) ledgers: BTreeMap<ServiceName, Ledger>,
    pub(super) clocks: BTreeMap<ServiceName, MoveClock>,
    pub(super) fence: FencingToken,
    pub(super) tables: Tables,
    pub(super) intent: OperatorsIntent,
    /// Up to when that holds all that was acknowledged.
    pub(super) confirmed: Moment,
    /// When the leadership was handed to this leader, until it has an authority of its own.
    pub(super) starting: Option<Moment>,
    /// Nodes whose servers were granted keys, and that have not been told to ask for them yet.
    pub(super) prompted: BTreeSet<NodeName>,
    /// Decisions for the log: what, and the inputs.
    pub(super) notes: Vec<(&'static str, String)>,
}

/// Is what a node knows when its claim has succeeded.
#[derive(Clone, Debug)]
pub(in crate::ownership) struct LeaderClaim {
    /// The record that now stands in the store.
    pub(in crate::ownership) record: LeaderRecord,
    /// The one before it.
    pub(in crate::ownership) previous: Option<LeaderRecord>,
    /// Where the topic ends with it.
    pub(in crate::ownership) topic_end: u64,
    /// When the claim was sent.
    pub(in crate::ownership) sent_at: Moment,
}

impl Leader {
    pub(in crate::ownership) fn new(
        now: Moment,
        claim: LeaderClaim,
        directory: &Directory,
        intent: OperatorsIntent,
        times: LeaseTimes,
    ) -> Self {
        let mut leader = Self::bare(now, claim.record, directory, intent, times);
        leader.authority = Authority::new(claim.sent_at);
        leader.takeover = Some(Takeover::new(now, claim.previous));
        leader.keeper = RecordKeeper::new(now, claim.topic_end);
        leader
    }

    /// Makes a leader that knows only the nodes.
    pub(super) fn bare(
        now: Moment,
        record: LeaderRecord,
        directory: &Directory,
        intent: OperatorsIntent,
        times: LeaseTimes,
    ) -> Self {
        let mut tables = Tables::default();
        let known = directory.members.values().map(|entry| {
            let changed = tables.next_version();
            let peer = Peer::from_table(now, entry.member.clone(), changed);
            (entry.member.incarnation.node.clone(), peer)
        });
        let peers = known.collect();
        Self {
            me: record.leader.clone(),
            times,
            authority: Authority::new(now),
            takeover: None,
            keeper: RecordKeeper::new(now, 0),
            fence: FencingToken::first_of(record.epoch.0),
            record,
            peers,
            ledgers: BTreeMap::new(),
            clocks: BTreeMap::new(),
            tables,
            intent,
            confirmed: Moment::default(),
            starting: None,
            prompted: BTreeSet::new(),
            notes: Vec::new(),
        }
    }

    /// Tells whether the leader may not act any more; it never may again in this epoch.
    pub(in crate::ownership) fn has_lapsed(&self, now: Moment) -> bool {
        let starting = self
            .starting
            .is_some_and(|since| now.since(since) < STARTING);
        !starting && self.authority.left(now, &self.times).is_zero()
    }

    /// Takes the decisions that are to be logged.
    pub(in crate::ownership) fn take_notes(&mut self) -> Vec<(&'static str, String)> {
        std::mem::take(&mut self.notes)
    }

    pub(in crate::ownership) fn record(&self) -> &LeaderRecord {
        &self.record
    }

    pub(in crate::ownership) fn set_intent(&mut self, intent: OperatorsIntent) {
        self.intent = intent;
    }

    /// Learns up to when the intent holds all that was acknowledged.
    pub(in crate::ownership) fn set_intent_confirmed(&mut self, at: Moment) {
        self.confirmed = at;
    }

    /// Takes one beat and answers it.
    pub(in crate::ownership) fn handle_heartbeat(
        &mut self,
        now: Moment,
        from: SocketAddr,
        beat: &NodeHeartbeat,
        actions: &mut Vec<Action>,
    ) {
        let node = beat.member.incarnation.node.clone();
        let late = self.peers.get(&node).is_some_and(|peer| {
            peer.member.incarnation == beat.member.incarnation && beat.sequence <= peer.sequence
        });
        if beat.epoch != self.record.epoch || late {
            return;
        }
        let current = self.learn(now, &node, beat);
        // This one is told with the answer.
        self.prompted.remove(&node);
        self.prompt(actions);
        let lease = self.authority.left(now, &self.times);
        // A leader without authority grants nothing, but a new one needs its orders repeated to get
        // any.
        if lease.is_zero() && self.starting.is_none() {
            return;
        }
        let assignment = match current && !lease.is_zero() {
            true => self.assignment(&node),
            false => None,
        };
        if assignment.is_some() {
            self.extend(now, &node);
        }
        let order = LeaderReply {
            epoch: self.record.epoch,
            leader: self.me.clone(),
            incarnation: beat.member.incarnation.nonce,
            sequence: beat.sequence,
            sent_at: now.0,
            lease: milliseconds(lease),
            grants_pending: !current || self.expects(&node),
            assignment,
            update: self.update_for(beat),
            intent_offset: self.intent.offset,
            // Rounded up, so that nobody takes the word for newer than it is.
            intent_age: milliseconds(now.since(self.confirmed)).saturating_add(1),
        };
        if beat.intent_offset > self.intent.offset {
            actions.push(Action::FetchIntent(beat.member.traffic));
        }
        actions.push(Action::Send(from, PeerMessage::Reply(Box::new(order))));
    }

    /// Takes over what a beat says, if it comes from the process that speaks for its node; tells whether
    /// it does.
    fn learn(&mut self, now: Moment, node: &NodeName, beat: &NodeHeartbeat) -> bool {
        let peer = self.peers.get_mut(node);
        let current = peer.is_none_or(|peer| peer.is_current(now, beat));
        if current {
            self.note_beat(now, node, beat);
        }
        self.update_authority(now);
        if current {
            self.settle_rows(now, node, beat);
            self.outbid(node, beat);
            self.account(now);
            self.place(now);
        }
        self.lapse(now);
        current
    }

    /// Does what time asks for.
    pub(in crate::ownership) fn tick(&mut self, now: Moment, actions: &mut Vec<Action>) {
        self.update_authority(now);
        self.lapse(now);
        self.account(now);
        self.place(now);
        self.prompt(actions);
        self.note_silence(now);
        self.keep_record(now, actions);
        self.call_silent(now, actions);
    }

    fn note_beat(&mut self, now: Moment, node: &NodeName, beat: &NodeHeartbeat) {
        let peer = self.peers.entry(node.clone()).or_insert_with(|| {
            let mut peer = Peer::from_table(now, beat.member.clone(), 0);
            peer.told_heard = false;
            peer
        });
        if peer.hear(now, beat) {
            peer.changed = self.tables.next_version();
        }
    }

    fn update_authority(&mut self, now: Moment) {
        if let Some(takeover) = &mut self.takeover {
            takeover.note_majority(now, &self.peers, &self.times);
        }
        let stamp = self.keeper.majority_stamp(&self.record, &self.peers);
        self.authority.confirm_by_majority(stamp);
        let alone = self.record.store_suffices && self.keeper.allows_alone();
        self.authority.set_alone(now, alone, &self.times);
        if !self.authority.left(now, &self.times).is_zero() {
            self.starting = None;
        }
    }

    /// Returns the members that this leader hears, for the directory of its own node.
    pub(in crate::ownership) fn responsive_members(
        &self,
        now: Moment,
    ) -> impl Iterator<Item = &Member> {
        self.peers
            .values()
            .filter(move |peer| peer.is_heard(now))
            .map(|peer| &peer.member)
    }
}

fn milliseconds(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
