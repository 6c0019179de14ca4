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
/// How long after the first answer of one that knows another one is waited for: the first may have been cut off or
/// frozen while the others heard of the latest ends.
const SECOND_ANSWER_WAIT: Duration = Duration::from_millis(100);
/// How many answers of nodes that know are enough to go on.
const ENOUGH_ANSWERS: usize = 2;

/// How many nodes a process asks for all of them to say that they know nothing.
const MAX_FLEET: usize = 32;

/// Chooses whom a process asks for what the one before it may have known. A node that has just started itself
/// knows no more, and is asked again. `K` names a node: by its name, or by its address where names are not known
/// yet.
#[derive(Clone, Debug)]
pub struct PeerQuery<K> {
    end: Moment,
    asked: BTreeMap<K, u32>,
    /// The nodes that have not answered yet.
    asking: BTreeSet<K>,
    answers: usize,
    /// When the first node answered that knows.
    first_answer: Option<Moment>,
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
            asking: BTreeSet::new(),
            answers: 0,
            first_answer: None,
            uninformed: BTreeSet::new(),
        }
    }

    /// Returns how long to look for further nodes; none once enough have answered or the time is over.
    pub fn time_left(&self, now: Moment) -> Option<Duration> {
        let left = self.end.since(now);
        (self.answers < NODES_ASKED && !left.is_zero()).then_some(left)
    }

    /// Chooses the next node to ask, and how long to wait before. Several are asked at once, since those that are
    /// away do not answer, and the one that knows may end.
    pub fn next<'a, N>(&mut self, own: &K, others: N) -> Option<(K, Duration)>
    where
        N: IntoIterator<Item = &'a K>,
        K: 'a,
    {
        if self.asking.len() >= NODES_ASKED {
            return None;
        }
        let times = |node: &K| self.asked.get(node).copied().unwrap_or_default();
        let open = others
            .into_iter()
            .filter(|node| times(node) < MAX_TIMES_ASKED && !self.asking.contains(node));
        // Begins after the own name, so that not every process asks the same nodes.
        let next = open
            .min_by_key(|node| (times(node), *node < own, *node))?
            .clone();
        let wait = match times(&next) {
            0 => Duration::ZERO,
            _ => ASK_INTERVAL,
        };
        *self.asked.entry(next.clone()).or_default() += 1;
        self.asking.insert(next.clone());
        Some((next, wait))
    }

    /// Records that a node has answered, and whether it knew what the others know.
    pub fn record_answer(&mut self, now: Moment, node: &K, informed: bool) {
        self.asking.remove(node);
        if informed {
            self.answers += 1;
            self.first_answer.get_or_insert(now);
            self.asked.insert(node.clone(), MAX_TIMES_ASKED);
        } else {
            self.uninformed.insert(node.clone());
        }
    }

    /// Records that a node has not answered.
    pub fn record_silence(&mut self, node: &K) {
        self.asking.remove(node);
    }

    /// Tells whether enough nodes that know have answered.
    pub fn is_informed(&self, now: Moment) -> bool {
        let Some(first) = self.first_answer else {
            return false;
        };
        let is_last = self.asking.is_empty() || now.since(first) >= SECOND_ANSWER_WAIT;
        self.answers >= ENOUGH_ANSWERS || is_last
    }

    /// Tells whether nobody knows anything: all of these, the nodes that ran before this process, have
    /// answered so. One that is missing may be the one that knows. Large fleets are not asked one by one.
    pub fn is_fleet_uninformed(&self, own: &K, ran_before: &BTreeSet<K>) -> bool {
        let mut others = ran_before.iter().filter(|node| *node != own);
        (1..=MAX_FLEET).contains(&ran_before.len())
            && others.all(|node| self.uninformed.contains(node))
    }
}
