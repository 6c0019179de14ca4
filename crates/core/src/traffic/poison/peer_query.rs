//! Which nodes a process asks at its start.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::time::Moment;

/// How long nodes are asked.
const ASKING_TIME: Duration = Duration::from_secs(10);
/// How many nodes are to answer.
const NODES_ASKED: usize = 5;
/// How often one that does not answer, or has just started itself, is asked.
const MAX_TIMES_ASKED: u32 = 3;
/// How long after an earlier question such a node is asked again.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// How many nodes a process asks for all of them to say that they know nothing.
const MAX_FLEET: usize = 32;

/// Chooses whom a process asks for what the one before it may have known. A node that has just started itself
/// knows no more, and is asked again. `K` names a node: by its name, or by its address where names are not known
/// yet.
#[derive(Clone, Debug)]
pub struct PeerQuery<K> {
    end: Moment,
    asked: BTreeMap<K, u32>,
    answers: usize,
    /// The nodes that have answered that they know nothing yet.
    uninformed: BTreeSet<K>,
}

impl<K> PeerQuery<K>
where
    K: Ord + Clone,
{
    /// Creates the query of a process that starts now.
    pub fn new(now: Moment) -> Self {
        Self {
            end: now + ASKING_TIME,
            asked: BTreeMap::new(),
            answers: 0,
            uninformed: BTreeSet::new(),
        }
    }

    /// Returns how long to look for further nodes; none once enough have answered or the time is over.
    pub fn time_left(&self, now: Moment) -> Option<Duration> {
        let left = self.end.since(now);
        (self.answers < NODES_ASKED && !left.is_zero()).then_some(left)
    }

    /// Chooses the next node to ask, and how long to wait before.
    pub fn next<'a, N>(&mut self, own: &K, others: N) -> Option<(K, Duration)>
    where
        N: IntoIterator<Item = &'a K>,
        K: 'a,
    {
        let times = |node: &K| self.asked.get(node).copied().unwrap_or_default();
        let open = others
            .into_iter()
            .filter(|node| times(node) < MAX_TIMES_ASKED);
        // Begins after the own name, so that not every process asks the same nodes.
        let next = open
            .min_by_key(|node| (times(node), *node < own, *node))?
            .clone();
        let wait = match times(&next) {
            0 => Duration::ZERO,
            _ => ASK_INTERVAL,
        };
        *self.asked.entry(next.clone()).or_default() += 1;
        Some((next, wait))
    }

    /// Records that a node has answered, and whether it knew what the others know.
    pub fn record_answer(&mut self, node: &K, informed: bool) {
        if informed {
            self.answers += 1;
            self.asked.insert(node.clone(), MAX_TIMES_ASKED);
        } else {
            self.uninformed.insert(node.clone());
        }
    }

    /// Tells whether nobody knows anything: all of these, the nodes that ran before this process, have
    /// answered so. One that is missing may be the one that knows. Large fleets are not asked one by one.
    pub fn is_fleet_uninformed(&self, own: &K, ran_before: &BTreeSet<K>) -> bool {
        let mut others = ran_before.iter().filter(|node| *node != own);
        (1..=MAX_FLEET).contains(&ran_before.len())
            && others.all(|node| self.uninformed.contains(node))
    }
}
