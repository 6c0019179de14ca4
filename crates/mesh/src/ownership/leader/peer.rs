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

/// How long a node may be silent before others are told to avoid it: three of its beats.
const SILENT: Duration = Duration::from_millis(1_300);

/// The weight of a beat's load in the mean: that of one moment says little, and two seconds of full
/// load show.
const FILL_WEIGHT: f64 = 0.2;

/// The weight of a beat's time for a request: other work on the server's host triples it for tenths
/// of a second, which is no reason to move keys.
const PACE_WEIGHT: f64 = 0.08;

/// Is a node as its beats describe it.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) member: Member,
    /// Another process that speaks for the node, and since when; it has not proved yet that it lives.
    newcomer: Option<(NodeIncarnation, Moment)>,
    /// The newest beat's number; earlier ones are late and count for nothing.
    pub(super) sequence: u64,
    /// When it was last heard; none if it is known only from an earlier leader.
    pub(super) heard_at: Option<Moment>,
    /// When it became known.
    pub(super) known_at: Moment,
    /// Whether others have been told that it is heard.
    pub(super) told_heard: bool,
    /// The stamp of the newest order that it has applied.
    pub(super) applied: Option<Moment>,
    /// The newest stamp with which it confirmed the leadership.
    pub(super) vouched: Option<Moment>,
    /// When it last obeyed an earlier leader, at the latest; none until it has obeyed this one.
    pub(super) obeyed_other: Option<Moment>,
    /// Before this moment its lease has surely not ended; none if it has none from before.
    pub(super) lease_end: Option<Moment>,
    /// Whether all that its backend server may hold is known.
    pub(super) known: bool,
    pub(super) holding: Vec<HeldRange>,
    /// What earlier lives of its server were granted; the present one may hold it and may not keep it.
    pub(super) leftover: Vec<HeldRange>,
    pub(super) load: NodeLoad,
    /// How full its server was over the last seconds, as a share of its slots.
    pub(super) fill: f64,
    /// How long a request took at its server over the last seconds, in seconds; 0 if not known.
    pub(super) pace: f64,
    pub(super) key_loads: Vec<KeyLoad>,
    /// When its server sent its last heartbeat, by the node's word.
    pub(super) heartbeat_at: Moment,
    /// The version of the member table that this entry's last change made.
    pub(super) changed: u64,
    pub(super) intent: u64,
}

impl Peer {
    /// Makes a node that is known from an earlier leader's table only.
    pub(super) fn from_table(now: Moment, member: Member, changed: u64) -> Self {
        Self {
            member,
            newcomer: None,
            sequence: 0,
            heard_at: None,
            known_at: now,
            told_heard: true,
            applied: None,
            vouched: None,
            obeyed_other: None,
            lease_end: None,
            known: false,
            holding: Vec::new(),
            leftover: Vec::new(),
            load: NodeLoad::default(),
            fill: 0.0,
            pace: 0.0,
            key_loads: Vec::new(),
            heartbeat_at: now,
            changed,
            intent: 0,
        }
    }

    /// Tells whether a beat comes from the process that speaks for this node now.
    ///
    /// A beat of an earlier process may come seconds late, after the node and its server have started
    /// again. Taken for the newest word it would say that the server is another one and holds nothing,
    /// and its keys would be given to a second holder. So another process speaks for the node only
    /// once it has applied an order that this leader sent after it had first heard of it: one that is
    /// gone can't.
    pub(super) fn is_current(&mut self, now: Moment, beat: &NodeHeartbeat) -> bool {
        let life = &beat.member.incarnation;
        if self.heard_at.is_none() || self.member.incarnation == *life {
            return true;
        }
        match &self.newcomer {
            Some((known, since)) if known == life => {
                let current = beat.applied_reply.is_some_and(|stamp| stamp >= since.0);
                if current {
                    self.newcomer = None;
                }
                current
            }
            _ => {
                self.newcomer = Some((life.clone(), now));
                false
            }
        }
    }

    /// Takes over a beat; tells whether others must learn of a change.
    pub(super) fn hear(&mut self, now: Moment, beat: &NodeHeartbeat) -> bool {
        let changed = self.member != beat.member || !self.told_heard;
        if self.member.incarnation != beat.member.incarnation {
            self.vouched = None;
        }
        self.member = beat.member.clone();
        self.sequence = beat.sequence;
        self.heard_at = Some(now);
        self.told_heard = true;
        self.applied = beat.applied_reply.map(Moment);
        let quiet = Duration::from_millis(u64::from(beat.prior_age));
        self.obeyed_other = self.applied.map(|_| now.before(quiet));
        if beat.confirms {
            self.vouched = self.applied.max(self.vouched);
        }
        let left = Duration::from_millis(u64::from(beat.lease_left));
        self.lease_end = self
            .applied
            .filter(|_| beat.lease_left > 0)
            .map(|stamp| stamp + left);
        self.known = beat.holding_complete;
        self.holding.clone_from(&beat.holding);
        self.leftover.clone_from(&beat.earlier_grants);
        self.load = beat.load;
        self.fill += (beat.load.utilization() - self.fill) * FILL_WEIGHT;
        let pace = f64::from(beat.load.request_ms) / 1_000.0;
        match self.pace > 0.0 {
            true => self.pace += (pace - self.pace) * PACE_WEIGHT,
            false => self.pace = pace,
        }
        if !beat.key_loads.is_empty() {
            self.key_loads.clone_from(&beat.key_loads);
        }
        self.heartbeat_at = now.before(Duration::from_millis(u64::from(beat.heartbeat_age)));
        self.intent = beat.intent_offset;
        changed
    }

    /// Tells whether its server may hold some of these keys, as far as reported.
    pub(super) fn may_hold(&self, keys: &KeyRange) -> bool {
        let mut held = self.holding.iter().chain(&self.leftover);
        held.any(|held| held.keys.common(keys).is_some())
    }

    /// Returns the digest of what others are told of it.
    pub(super) fn digest(&self) -> MemberDigest {
        MemberDigest::of(&self.member, self.told_heard)
    }

    /// Tells whether the node spoke lately.
    pub(super) fn is_heard(&self, now: Moment) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) < SILENT)
    }

    /// Tells whether others should be told that it has fallen silent.
    pub(super) fn fell_silent(&self, now: Moment) -> bool {
        let last = self.heard_at.unwrap_or(self.known_at);
        self.told_heard && now.since(last) >= SILENT
    }

    /// Returns since when the node is silent.
    pub(super) fn last_word(&self) -> Moment {
        self.heard_at.unwrap_or(self.known_at)
    }

    /// Tells whether everything that its backend server holds is known, from beats of a process that
    /// has applied an order of this leader and so was alive when that was sent.
    pub(super) fn is_accounted(&self) -> bool {
        self.applied.is_some() && self.known
    }
}
