//! The search of a node that hears no leader.

use std::collections::BTreeMap;
use std::time::Duration;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;

use crate::ownership::Epoch;
use crate::ownership::LeaderRecord;
use crate::ownership::LeaseTimes;
use crate::ownership::NodeProfile;

/// How long answers of other nodes count.
const FRESH: Duration = Duration::from_millis(1_000);
/// The time from one read of the leader's topic to the next while no leader is heard.
const READ_PAUSE: Duration = Duration::from_millis(400);
/// The most by which nodes that look for a leader at the same time are spread; the first to claim
/// spares the others a refused call.
const SPREAD: Duration = Duration::from_millis(250);
/// How much later nodes on a narrow link claim: the leader answers every node several times a second,
/// and after a change of leadership sends all of them the tables.
const NARROW_LATER: Duration = Duration::from_millis(300);
/// How many times as widely they are spread, as they are mostly the larger part.
const NARROW_SPREAD: u32 = 2;
/// How many refreshes a leader may miss until it counts as lost although no peer says so.
const MISSED_REFRESHES: u32 = 2;

/// Says what a search wants next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::ownership) enum SearchAction {
    /// Nothing for now.
    Wait,
    /// Read the newest record.
    Read,
    /// Claim the next epoch, if the topic still ends there.
    Claim {
        /// Where the topic ends.
        topic_end: u64,
        /// The record to succeed.
        previous: Option<LeaderRecord>,
    },
}

/// Decides whether the leader is lost, or only out of this node's reach.
///
/// Were a node that is cut off from all others to claim, it would take the leadership from a
/// leader whom everyone else hears, and again after each heal. So a node claims only when a
/// majority of the voters say that they don't hear the leader either; or when the leader has not
/// refreshed its record for long, since that majority may be gone for good.
#[derive(Clone, Debug, Default)]
pub(in crate::ownership) struct LeaderSearch {
    known: Option<Known>,
    read_at: Option<Moment>,
    reading: bool,
    claim_after: Option<Moment>,
    /// Nodes that said they don't hear the leader of an epoch, and when.
    unheard: BTreeMap<NodeName, (Epoch, Moment)>,
}

#[derive(Clone, Debug)]
struct Known {
    record: Option<LeaderRecord>,
    end: u64,
    /// When this record was first seen as the newest.
    since: Moment,
    /// When it was last seen as the newest.
    seen: Moment,
}

impl LeaderSearch {
    /// Ends the search.
    pub(in crate::ownership) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Learns the newest record.
    pub(in crate::ownership) fn handle_record(
        &mut self,
        now: Moment,
        record: Option<LeaderRecord>,
        end: u64,
    ) {
        self.reading = false;
        let since = match &self.known {
            Some(known) if known.end == end => known.since,
            _ => now,
        };
        self.known = Some(Known {
            record,
            end,
            since,
            seen: now,
        });
    }

    /// Learns that the store did not answer.
    pub(in crate::ownership) fn handle_read_failure(&mut self) {
        self.reading = false;
    }

    /// Learns whether another node hears the leader of an epoch.
    pub(in crate::ownership) fn record_reply(
        &mut self,
        now: Moment,
        node: NodeName,
        epoch: Epoch,
        hears: bool,
    ) {
        match hears {
            true => self.unheard.remove(&node),
            false => self.unheard.insert(node, (epoch, now)),
        };
    }

    /// Says what a node that knows `me` of itself does; `roll` is a random share of one that spreads
    /// equal nodes.
    pub(in crate::ownership) fn step(
        &mut self,
        now: Moment,
        me: &NodeProfile,
        times: &LeaseTimes,
        roll: f64,
    ) -> SearchAction {
        let fresh = self
            .known
            .as_ref()
            .is_some_and(|known| now.since(known.seen) < READ_PAUSE);
        if !fresh {
            let due = self.read_at.is_none_or(|at| now.since(at) >= READ_PAUSE);
            if self.reading || !due {
                return SearchAction::Wait;
            }
            self.read_at = Some(now);
            self.reading = true;
            return SearchAction::Read;
        }
        let Some(known) = &self.known else {
            return SearchAction::Wait;
        };
        if !self.is_lost(now, known, &me.incarnation.node, times) {
            self.claim_after = None;
            return SearchAction::Wait;
        }
        let wait = match me.narrow_link {
            true => NARROW_LATER + (SPREAD * NARROW_SPREAD).mul_f64(roll),
            false => SPREAD.mul_f64(roll),
        };
        let after = *self.claim_after.get_or_insert(now + wait);
        if now < after {
            return SearchAction::Wait;
        }
        SearchAction::Claim {
            topic_end: known.end,
            previous: known.record.clone(),
        }
    }

    fn is_lost(&self, now: Moment, known: &Known, me: &NodeName, times: &LeaseTimes) -> bool {
        let Some(record) = &known.record else {
            return true;
        };
        if record.leader.node == *me || record.voters.is_empty() {
            return true;
        }
        if now.since(known.since) >= times.refresh_interval * MISSED_REFRESHES {
            return true;
        }
        let unheard = record.voters.iter().filter(|voter| {
            let said = self.unheard.get(&voter.node);
            let said =
                said.is_some_and(|(epoch, at)| *epoch >= record.epoch && now.since(*at) < FRESH);
            voter.node == *me || said
        });
        unheard.count() >= record.majority()
    }
}
