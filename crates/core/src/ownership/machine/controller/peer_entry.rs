//! The controller's state for one node.

use std::time::Duration;

use crate::cluster::Member;
use crate::cluster::ServerState;
use crate::ids::SlotCount;
use crate::ids::Version;
use crate::ownership::message::Heartbeat;
use crate::ownership::message::LoadReport;
use crate::ownership::message::Profile;
use crate::time::Moment;

/// Number of answers that carry a new version of the intent. A node that loses this many answers in
/// a row also loses all its leases.
const INITIAL_INTENT_ANSWERS: u64 = 8;
/// A later answer repeats the intent version at this interval, counted in answers, for a node that
/// kept running but no longer has the version.
const INTENT_REPEAT_ANSWERS: u64 = 32;

/// What the controller knows of one node. Its own node has an entry too.
#[derive(Clone, Debug)]
pub(super) struct PeerEntry {
    pub(super) member: Member,
    pub(super) profile: Option<Profile>,
    pub(super) load: Option<LoadReport>,
    /// Number of the latest heartbeat; older ones that arrive late are ignored.
    pub(super) last_number: u64,
    pub(super) last_heartbeat: Option<Moment>,
    /// Send time of the newest message that the node has received.
    pub(super) delivered: Option<Moment>,
    pub(super) unanswered: Option<Box<Heartbeat>>,
    pub(super) last_attempt: Option<Moment>,
    pub(super) attempts: u32,
    pub(super) refused_at: Option<Moment>,
    /// The intent version sent last, and the number of answers since it changed.
    intent_version: Version,
    intent_answers: u64,
}

impl PeerEntry {
    pub(super) fn open(member: Member) -> Self {
        Self {
            member,
            profile: None,
            load: None,
            last_number: 0,
            last_heartbeat: None,
            delivered: None,
            unanswered: None,
            last_attempt: None,
            attempts: 0,
            refused_at: None,
            intent_version: Version::default(),
            intent_answers: 0,
        }
    }

    /// Returns the intent version if the next answer has to carry it. The first answers after each
    /// change do, since any may be lost, and later answers do at intervals.
    pub(super) fn next_intent_version(&mut self, version: Version) -> Option<Version> {
        if self.intent_version != version {
            self.intent_version = version;
            self.intent_answers = 0;
        }
        self.intent_answers += 1;
        let is_due = self.intent_answers <= INITIAL_INTENT_ANSWERS
            || self.intent_answers.is_multiple_of(INTENT_REPEAT_ANSWERS);
        is_due.then_some(version)
    }

    pub(super) fn is_responsive_within(&self, now: Moment, span: Duration) -> bool {
        self.last_heartbeat
            .is_some_and(|received| now.since(received) < span)
    }

    /// Returns whether the node received a message sent within `span`. A node whose heartbeats
    /// arrive but which receives nothing would never learn of a grant, and its slices would stay
    /// unserved.
    pub(super) fn is_reached_within(&self, now: Moment, span: Duration) -> bool {
        self.delivered.is_some_and(|sent| now.since(sent) < span)
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.profile.as_ref().is_some_and(|profile| profile.leaving)
    }

    pub(super) fn is_draining(&self) -> bool {
        let state = self.profile.as_ref().map(|profile| profile.state);
        state == Some(ServerState::Draining)
    }

    /// Returns the node's capacity in slots, at least one.
    pub(super) fn capacity(&self) -> SlotCount {
        let slots = self.profile.as_ref().map_or(0, |profile| profile.slots.0);
        SlotCount(slots.max(1))
    }
}
