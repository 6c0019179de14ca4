//! Requests that were lost together with the node they were sent to.

use std::collections::VecDeque;
use std::time::Duration;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;

use crate::model::ServerIncarnation;
use crate::ownership::Directory;

/// How many are remembered.
const MAX_LOST: usize = 256;
/// How long one is remembered.
const MEMORY_TIME: Duration = Duration::from_secs(60);
/// Up to this age a process tells in its responses how old it is: older than any loss that is remembered.
pub const MAX_AGE_TOLD: Duration = Duration::from_secs(70);
/// How long after the loss the leader's word counts that the node lives: it takes that long to notice that it does
/// not.
const NOTICE_TIME: Duration = Duration::from_secs(3);

/// A request that was lost with a node, which then could not say whether its server ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostHop {
    /// The node.
    pub node: NodeName,
    /// What told this run of the node's process from others.
    pub nonce: u64,
    /// The server beside it.
    pub server: ServerIncarnation,
    /// When it was sent there.
    pub sent: Moment,
    /// When it was lost.
    pub at: Moment,
}

/// Finds out afterwards which requests were lost on their way only.
#[derive(Clone, Debug, Default)]
pub struct LostHops {
    lost: VecDeque<LostHop>,
}

/// What the directory tells of a lost hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Unknown,
    /// The node's process went on and has seen itself whether its server ended.
    NotLost,
    /// Another process of the node runs: the one before may have ended under the request itself.
    Ended,
}

impl LostHops {
    /// Records a loss.
    pub fn record(&mut self, lost: LostHop) {
        let same = |other: &LostHop| (&other.node, &other.server) == (&lost.node, &lost.server);
        if self.lost.iter().any(same) {
            return;
        }
        if self.lost.len() >= MAX_LOST {
            self.lost.pop_front();
        }
        self.lost.push_back(lost);
    }

    /// Records that a process of a node has responded, and its age unless it runs for long; returns the servers
    /// beside it that are not lost by its word. Only a process that ran when a request was sent there can tell what
    /// became of it, and the directory may still name the one before.
    pub fn record_contact(
        &mut self,
        now: Moment,
        node: &NodeName,
        age: Option<Duration>,
    ) -> Vec<ServerIncarnation> {
        let mut found = Vec::new();
        self.lost.retain(|lost| {
            if lost.node != *node {
                return true;
            }
            if age.is_none_or(|age| now.since(lost.sent) <= age) {
                found.push(lost.server.clone());
            }
            false
        });
        found
    }

    /// Looks the lost nodes up in the directory, which the leader confirmed at `confirmed`; returns the servers beside
    /// those whose processes went on.
    pub fn resolve(
        &mut self,
        now: Moment,
        directory: &Directory,
        confirmed: Option<Moment>,
    ) -> Vec<ServerIncarnation> {
        let mut found = Vec::new();
        self.lost
            .retain(|lost| match fate(lost, directory, confirmed) {
                Fate::Unknown => now.since(lost.at) < MEMORY_TIME,
                Fate::Ended => false,
                Fate::NotLost => {
                    found.push(lost.server.clone());
                    false
                }
            });
        found
    }
}

fn fate(lost: &LostHop, directory: &Directory, confirmed: Option<Moment>) -> Fate {
    let Some(entry) = directory.members.get(&lost.node) else {
        return Fate::Unknown;
    };
    let is_same_process = entry.member.incarnation.nonce == lost.nonce;
    // While no leader responds, the directory goes on listing a process that has ended.
    let is_noticed = confirmed.is_some_and(|at| at >= lost.at + NOTICE_TIME);
    let is_alive = entry.responsive && is_noticed;
    match (is_same_process, is_alive) {
        (false, _) => Fate::Ended,
        (true, true) => Fate::NotLost,
        (true, false) => Fate::Unknown,
    }
}
