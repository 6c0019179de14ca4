//! The search for a leader by a node that receives no replies from one.

use std::collections::BTreeMap;
use std::time::Duration;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;

use crate::ownership::Epoch;
use crate::ownership::LeaderRecord;
use crate::ownership::LeaseTimes;
use crate::ownership::NodeProfile;

/// How long the reply of a peer counts.
const REPLY_VALIDITY: Duration = Duration::from_millis(1_000);
/// The interval between reads of the leader's topic during a search.
const READ_INTERVAL: Duration = Duration::from_millis(400);
/// The longest random delay of a claim. It separates nodes that search at the same time: once the
/// first has claimed, the others save a call that the store would refuse.
const MAX_CLAIM_DELAY: Duration = Duration::from_millis(250);
/// The extra delay of nodes on a narrow link: the leader replies to every node several times a
/// second, and sends the tables to all of them after a change of leadership.
const NARROW_LINK_DELAY: Duration = Duration::from_millis(300);
/// The factor by which the random delay is longer for nodes on a narrow link, since they are
/// usually the majority.
const NARROW_LINK_FACTOR: u32 = 2;
/// The number of rewrites of its record after which a silent leader counts as lost although no peer
/// confirms it.
const MAX_MISSED_REFRESHES: u32 = 2;

/// What the search asks its node to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::ownership) enum SearchAction {
    /// Do nothing for now.
    Wait,
    /// Read the newest record.
    Read,
    /// Claim the next epoch if the topic still ends where it was seen to end.
    Claim {
        /// Where the topic ends.
        topic_end: u64,
        /// The record of the leader to succeed.
        previous: Option<LeaderRecord>,
    },
}

/// Decides whether the leader is lost or only unreachable from this node.
///
/// If a node that is cut off from all others claimed the leadership, it would replace a leader that
/// responds to everyone else, and would do so again after each repair of the network. A node
/// therefore claims only when a majority of the voters receive no response from the leader either,
/// or when the leader has not rewritten its record for long, since that majority may be lost for
/// good.
#[derive(Clone, Debug, Default)]
pub(in crate::ownership) struct LeaderSearch {
    newest: Option<NewestRecord>,
    read_at: Option<Moment>,
    read_pending: bool,
    claim_after: Option<Moment>,
    /// Nodes that reported the leader of an epoch as unresponsive, with the time of each report.
    unresponsive: BTreeMap<NodeName, (Epoch, Moment)>,
}

#[derive(Clone, Debug)]
struct NewestRecord {
    record: Option<LeaderRecord>,
    topic_end: u64,
    /// When this record was first seen as the newest.
    first_seen: Moment,
    /// When it was last seen as the newest.
    last_seen: Moment,
}

impl LeaderSearch {
    /// Ends the search.
    pub(in crate::ownership) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Handles the newest record.
    pub(in crate::ownership) fn handle_record(
        &mut self,
        now: Moment,
        record: Option<LeaderRecord>,
        topic_end: u64,
    ) {
        self.read_pending = false;
        let first_seen = match &self.newest {
            Some(newest) if newest.topic_end == topic_end => newest.first_seen,
            _ => now,
        };
        self.newest = Some(NewestRecord {
            record,
            topic_end,
            first_seen,
            last_seen: now,
        });
    }

    /// Handles a read that the store did not answer.
    pub(in crate::ownership) fn handle_read_failure(&mut self) {
        self.read_pending = false;
    }

    /// Records the reply of a peer that was asked whether the leader of an epoch responds to it.
    pub(in crate::ownership) fn record_reply(
        &mut self,
        now: Moment,
        node: NodeName,
        epoch: Epoch,
        responsive: bool,
    ) {
        match responsive {
            true => self.unresponsive.remove(&node),
            false => self.unresponsive.insert(node, (epoch, now)),
        };
    }

    /// Returns what the node is to do. `random_share` is a random number from 0 to 1 that spreads
    /// the claims of equal nodes.
    pub(in crate::ownership) fn step(
        &mut self,
        now: Moment,
        profile: &NodeProfile,
        times: &LeaseTimes,
        random_share: f64,
    ) -> SearchAction {
        let current = self
            .newest
            .as_ref()
            .is_some_and(|newest| now.since(newest.last_seen) < READ_INTERVAL);
        if !current {
            let due = self.read_at.is_none_or(|at| now.since(at) >= READ_INTERVAL);
            if self.read_pending || !due {
                return SearchAction::Wait;
            }
            self.read_at = Some(now);
            self.read_pending = true;
            return SearchAction::Read;
        }
        let Some(newest) = &self.newest else {
            return SearchAction::Wait;
        };
        if !self.is_lost(now, newest, &profile.incarnation.node, times) {
            self.claim_after = None;
            return SearchAction::Wait;
        }
        let delay = match profile.narrow_link {
            true => {
                NARROW_LINK_DELAY + (MAX_CLAIM_DELAY * NARROW_LINK_FACTOR).mul_f64(random_share)
            }
            false => MAX_CLAIM_DELAY.mul_f64(random_share),
        };
        let claim_after = *self.claim_after.get_or_insert(now + delay);
        if now < claim_after {
            return SearchAction::Wait;
        }
        SearchAction::Claim {
            topic_end: newest.topic_end,
            previous: newest.record.clone(),
        }
    }

    fn is_lost(
        &self,
        now: Moment,
        newest: &NewestRecord,
        own_name: &NodeName,
        times: &LeaseTimes,
    ) -> bool {
        let Some(record) = &newest.record else {
            return true;
        };
        if record.leader.node == *own_name || record.voters.is_empty() {
            return true;
        }
        if now.since(newest.first_seen) >= times.refresh_interval * MAX_MISSED_REFRESHES {
            return true;
        }
        let confirming = record.voters.iter().filter(|voter| {
            let reported = self.unresponsive.get(&voter.node);
            let reported = reported.is_some_and(|(epoch, at)| {
                *epoch >= record.epoch && now.since(*at) < REPLY_VALIDITY
            });
            voter.node == *own_name || reported
        });
        confirming.count() >= record.majority()
    }
}
