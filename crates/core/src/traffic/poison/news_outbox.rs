//! Which nodes still have to hear what this node knows of which contents.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::ContentDigest;
use super::NewsLetter;
use crate::ids::NodeName;
use crate::time::Moment;

/// How many nodes are told directly. In a larger fleet each of them tells a group of others.
const MAX_DIRECT: usize = 32;
/// How many contents are listed for one node; beyond that it is told everything.
const MAX_LISTED: usize = 64;
/// How long after a failure a node is told again at first, and at most.
const MIN_RETRY: Duration = Duration::from_millis(100);
const MAX_RETRY: Duration = Duration::from_secs(2);
/// How many failures in a row make another node of the group pass the news on.
const MAX_RELAY_FAILURES: u32 = 2;
/// How long a node that does not confirm is told: a cut that lasts longer ends in requests that carry the news.
const MAX_TELLING_TIME: Duration = Duration::from_secs(60);

/// Keeps what each node has not confirmed.
#[derive(Clone, Debug, Default)]
pub struct NewsOutbox {
    pending: BTreeMap<NodeName, Pending>,
}

#[derive(Clone, Debug)]
struct Pending {
    /// None stands for all.
    contents: Option<BTreeSet<ContentDigest>>,
    relay: BTreeSet<NodeName>,
    since: Moment,
    due: Moment,
    failures: u32,
    /// How many letters are under way.
    sending: usize,
    /// Whether there is news that does not wait for the letters under way, nor for the next attempt after a failure.
    urgent: bool,
}

impl NewsOutbox {
    /// Queues news of some contents for these nodes, to be sent at `due`. What is due now does not wait for letters
    /// which a node does not confirm: it may receive them all the same.
    pub fn push(
        &mut self,
        now: Moment,
        due: Moment,
        contents: &[ContentDigest],
        nodes: &[NodeName],
    ) {
        if contents.is_empty() || nodes.is_empty() {
            return;
        }
        let group_size = nodes.len().div_ceil(MAX_DIRECT);
        for group in nodes.chunks(group_size) {
            let [first, relay @ ..] = group else {
                continue;
            };
            self.push_one(now, due, Some(contents.iter().copied()), first, relay);
        }
    }

    /// Queues everything that is known for these nodes.
    pub fn push_all(&mut self, now: Moment, nodes: &[NodeName]) {
        for node in nodes {
            self.push_one(now, now, None::<[ContentDigest; 0]>, node, &[]);
        }
    }

    /// Returns the letters that are due.
    pub fn take_due(&mut self, now: Moment) -> Vec<NewsLetter> {
        self.pending
            .retain(|_, pending| now.since(pending.since) < MAX_TELLING_TIME);
        let due = self.pending.iter_mut();
        let due = due.filter(|(_, pending)| pending.is_open() && pending.due <= now);
        let letters = due.map(|(node, pending)| {
            pending.sending += 1;
            pending.urgent = false;
            let contents = pending.contents.take();
            // What is added meanwhile is listed anew.
            pending.contents = Some(BTreeSet::new());
            NewsLetter {
                to: node.clone(),
                contents: contents.map(|contents| contents.into_iter().collect()),
                relay: std::mem::take(&mut pending.relay).into_iter().collect(),
            }
        });
        letters.collect()
    }

    /// Returns when the next letter is due.
    pub fn next_due(&self) -> Option<Moment> {
        let waiting = self.pending.values().filter(|pending| pending.is_open());
        waiting.map(|pending| pending.due).min()
    }

    /// Returns whether every node that confirms what it is told has heard what is due.
    pub fn is_told(&self, now: Moment) -> bool {
        let mut open = self.pending.values();
        !open.any(|pending| pending.failures == 0 && (pending.sending > 0 || pending.due <= now))
    }

    /// Records that a node has confirmed a letter.
    pub fn confirm(&mut self, now: Moment, letter: &NewsLetter) {
        let Some(pending) = self.pending.get_mut(&letter.to) else {
            return;
        };
        pending.sending = pending.sending.saturating_sub(1);
        pending.failures = 0;
        pending.since = now;
        let is_empty = pending.contents.as_ref().is_some_and(BTreeSet::is_empty);
        let is_done = is_empty && pending.sending == 0;
        if is_done && pending.relay.is_empty() {
            self.pending.remove(&letter.to);
        }
    }

    /// Records that a node has not confirmed a letter.
    pub fn fail(&mut self, now: Moment, letter: NewsLetter) {
        let NewsLetter {
            to,
            contents,
            relay,
        } = letter;
        let Some(pending) = self.pending.get_mut(&to) else {
            return;
        };
        pending.sending = pending.sending.saturating_sub(1);
        pending.failures += 1;
        let doublings = (pending.failures - 1).min(8);
        let due = now + (MIN_RETRY * 2_u32.pow(doublings)).min(MAX_RETRY);
        let relayed_by_other = pending.failures >= MAX_RELAY_FAILURES;
        let listed = contents.clone().map(IntoIterator::into_iter);
        match (relayed_by_other, relay.split_first()) {
            (true, Some((next, rest))) => {
                self.push_one(now, due, listed.clone(), &to, &[]);
                self.push_one(now, now, listed, next, rest);
            }
            _ => self.push_one(now, due, listed, &to, &relay),
        }
    }

    /// Drops the news for nodes that are not members any more.
    pub fn retain<P>(&mut self, is_member: P)
    where
        P: Fn(&NodeName) -> bool,
    {
        self.pending.retain(|node, _| is_member(node));
    }

    fn push_one<C>(
        &mut self,
        now: Moment,
        due: Moment,
        contents: Option<C>,
        node: &NodeName,
        relay: &[NodeName],
    ) where
        C: IntoIterator<Item = ContentDigest>,
    {
        let pending = self.pending.entry(node.clone()).or_insert_with(|| Pending {
            contents: Some(BTreeSet::new()),
            relay: BTreeSet::new(),
            since: now,
            due,
            failures: 0,
            sending: 0,
            urgent: false,
        });
        pending.urgent |= due <= now;
        // A node that does not confirm is not told more often because there is more news that can wait.
        pending.due = match pending.failures {
            0 => pending.due.min(due),
            _ if pending.urgent => pending.due.min(due),
            _ => pending.due.max(due),
        };
        pending.relay.extend(relay.iter().cloned());
        match (&mut pending.contents, contents) {
            (Some(listed), Some(contents)) => listed.extend(contents),
            (_, _) => pending.contents = None,
        }
        let listed = pending.contents.as_ref();
        if listed.is_some_and(|listed| listed.len() > MAX_LISTED) {
            pending.contents = None;
        }
    }
}

impl Pending {
    /// Returns whether a letter may be sent as soon as it is due.
    fn is_open(&self) -> bool {
        self.sending == 0 || self.urgent
    }
}
