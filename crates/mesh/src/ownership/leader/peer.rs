//! What the leader knows of a node.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use crate::model::HeldRange;
use crate::model::KeyRange;
use crate::ownership::KeyLoad;
use crate::ownership::Member;
use crate::ownership::MemberDigest;
use crate::ownership::NodeHeartbeat;
use crate::ownership::NodeIncarnation;
use crate::ownership::NodeLoad;

/// How long a node may be silent before others are told to avoid it: three of its heartbeats.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_300);

/// The weight of a heartbeat's utilization in the moving average: one sample says little, but two
/// seconds of full load have to show.
const UTILIZATION_WEIGHT: f64 = 0.2;

/// The weight of a heartbeat's service time in the moving average: other work on the server's host
/// triples it for tenths of a second, which is no reason to move keys.
const SERVICE_TIME_WEIGHT: f64 = 0.08;

/// A node as its heartbeats describe it.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) member: Member,
    /// Another incarnation that sends heartbeats for the node, and when its first one arrived. It
    /// has not yet proved that it still runs.
    new_incarnation: Option<(NodeIncarnation, Moment)>,
    /// The sequence number of the newest heartbeat; earlier ones arrived late and are ignored.
    pub(super) sequence: u64,
    /// When the last heartbeat arrived; none if the node is known only from an earlier leader.
    pub(super) last_heartbeat: Option<Moment>,
    /// When the node was added.
    pub(super) added_at: Moment,
    /// Whether the member table that others receive lists the node as responsive.
    pub(super) published_responsive: bool,
    /// The sending time of the newest reply that the node has applied.
    pub(super) applied_reply: Option<Moment>,
    /// The newest sending time of a reply with which the node confirmed the leadership.
    pub(super) confirmed_at: Option<Moment>,
    /// The latest moment at which the node can have obeyed an earlier leader; none until it has
    /// obeyed this one.
    pub(super) obeyed_previous: Option<Moment>,
    /// The earliest moment at which the lease that the node reported can end; none if it reported
    /// none.
    pub(super) lease_end: Option<Moment>,
    /// Whether the node has reported everything that its backend server may hold.
    pub(super) holding_complete: bool,
    pub(super) holding: Vec<HeldRange>,
    /// What earlier incarnations of its server were granted; the current one may hold it but must
    /// not keep it.
    pub(super) earlier_grants: Vec<HeldRange>,
    pub(super) load: NodeLoad,
    /// The average utilization of its server's slots over the last seconds, as a share of one.
    pub(super) utilization: f64,
    /// The average service time of its server over the last seconds, in seconds; 0 if unknown.
    pub(super) service_time: f64,
    pub(super) key_loads: Vec<KeyLoad>,
    /// When its server sent the last heartbeat, as the node reports it.
    pub(super) server_heartbeat: Moment,
    /// The version of the member table in which this entry last changed.
    pub(super) change_version: u64,
    pub(super) intent_offset: u64,
}

impl Peer {
    /// Creates a node that is known only from an earlier leader's table.
    pub(super) fn from_table(now: Moment, member: Member, change_version: u64) -> Self {
        Self {
            member,
            new_incarnation: None,
            sequence: 0,
            last_heartbeat: None,
            added_at: now,
            published_responsive: true,
            applied_reply: None,
            confirmed_at: None,
            obeyed_previous: None,
            lease_end: None,
            holding_complete: false,
            holding: Vec::new(),
            earlier_grants: Vec::new(),
            load: NodeLoad::default(),
            utilization: 0.0,
            service_time: 0.0,
            key_loads: Vec::new(),
            server_heartbeat: now,
            change_version,
            intent_offset: 0,
        }
    }

    /// Tells whether a heartbeat comes from the node's current incarnation.
    ///
    /// A heartbeat of an earlier incarnation can arrive seconds late, after the node and its server
    /// have restarted. If it counted as the newest, it would report another server that holds
    /// nothing, and the leader would grant the keys to a second holder. Another incarnation is
    /// therefore accepted only once it has applied a reply that this leader sent after the first
    /// heartbeat from it had arrived, which an incarnation that has ended can't do.
    pub(super) fn is_current(&mut self, now: Moment, heartbeat: &NodeHeartbeat) -> bool {
        let incarnation = &heartbeat.member.incarnation;
        if self.last_heartbeat.is_none() || self.member.incarnation == *incarnation {
            return true;
        }
        match &self.new_incarnation {
            Some((known, since)) if known == incarnation => {
                let current = heartbeat
                    .applied_reply
                    .is_some_and(|sent_at| sent_at >= since.0);
                if current {
                    self.new_incarnation = None;
                }
                current
            }
            _ => {
                self.new_incarnation = Some((incarnation.clone(), now));
                false
            }
        }
    }

    /// Applies a heartbeat, and tells whether other nodes must learn of a change.
    pub(super) fn record_heartbeat(&mut self, now: Moment, heartbeat: &NodeHeartbeat) -> bool {
        let changed = self.member != heartbeat.member || !self.published_responsive;
        if self.member.incarnation != heartbeat.member.incarnation {
            self.confirmed_at = None;
        }
        self.member = heartbeat.member.clone();
        self.sequence = heartbeat.sequence;
        self.last_heartbeat = Some(now);
        self.published_responsive = true;
        self.applied_reply = heartbeat.applied_reply.map(Moment);
        let prior_age = Duration::from_millis(u64::from(heartbeat.prior_age));
        self.obeyed_previous = self.applied_reply.map(|_| now.before(prior_age));
        if heartbeat.confirms {
            self.confirmed_at = self.applied_reply.max(self.confirmed_at);
        }
        let lease_left = Duration::from_millis(u64::from(heartbeat.lease_left));
        self.lease_end = self
            .applied_reply
            .filter(|_| heartbeat.lease_left > 0)
            .map(|sent_at| sent_at + lease_left);
        self.holding_complete = heartbeat.holding_complete;
        self.holding.clone_from(&heartbeat.holding);
        self.earlier_grants.clone_from(&heartbeat.earlier_grants);
        self.load = heartbeat.load;
        self.utilization += (heartbeat.load.utilization() - self.utilization) * UTILIZATION_WEIGHT;
        let service_time = f64::from(heartbeat.load.request_ms) / 1_000.0;
        match self.service_time > 0.0 {
            true => self.service_time += (service_time - self.service_time) * SERVICE_TIME_WEIGHT,
            false => self.service_time = service_time,
        }
        if !heartbeat.key_loads.is_empty() {
            self.key_loads.clone_from(&heartbeat.key_loads);
        }
        self.server_heartbeat =
            now.before(Duration::from_millis(u64::from(heartbeat.heartbeat_age)));
        self.intent_offset = heartbeat.intent_offset;
        changed
    }

    /// Tells whether its server may hold some of these keys, as far as reported.
    pub(super) fn may_hold(&self, keys: &KeyRange) -> bool {
        let mut held = self.holding.iter().chain(&self.earlier_grants);
        held.any(|held| held.keys.common(keys).is_some())
    }

    /// Returns the digest of what other nodes are told about it.
    pub(super) fn digest(&self) -> MemberDigest {
        MemberDigest::of(&self.member, self.published_responsive)
    }

    /// Tells whether a heartbeat of the node arrived recently.
    pub(super) fn is_responsive(&self, now: Moment) -> bool {
        self.last_heartbeat
            .is_some_and(|at| now.since(at) < SILENCE_TIMEOUT)
    }

    /// Tells whether other nodes have still to be told that this one is silent.
    pub(super) fn became_silent(&self, now: Moment) -> bool {
        let last = self.last_heartbeat.unwrap_or(self.added_at);
        self.published_responsive && now.since(last) >= SILENCE_TIMEOUT
    }

    /// Returns when the last heartbeat arrived, or when the node was added if none has.
    pub(super) fn silent_since(&self) -> Moment {
        self.last_heartbeat.unwrap_or(self.added_at)
    }

    /// Tells whether everything that its backend server holds is known, from heartbeats of an
    /// incarnation that has applied a reply of this leader and so was running when the reply was
    /// sent.
    pub(super) fn is_accounted_for(&self) -> bool {
        self.applied_reply.is_some() && self.holding_complete
    }
}
