//! What one node knows of poison requests, and what it tells the others.

use std::time::Duration;

use super::ContentDigest;
use super::NewsLetter;
use super::NewsOutbox;
use super::PoisonGuard;
use super::RunId;
use super::RunningRequest;
use super::ServerEnd;
use super::ServerLife;
use super::SuspectNews;
use super::SuspectRecord;
use crate::ids::NodeName;
use crate::time::Moment;

/// How long after its start a process waits for what the other nodes know: a new leader hears of them only then.
const MAX_ASKING_WAIT: Duration = Duration::from_millis(1_500);
/// How long news that clears a content is held back, so that one message carries several.
const CLEARING_DELAY: Duration = Duration::from_millis(50);

/// Decides about suspected contents for one node's process. `others` are all other nodes, which are told of what
/// is new.
#[derive(Clone, Debug)]
pub struct PoisonTracker {
    guard: PoisonGuard,
    outbox: NewsOutbox,
    started: Moment,
    informed: bool,
}

impl PoisonTracker {
    /// Creates the tracker of a process that starts now and knows nothing.
    pub fn new(now: Moment) -> Self {
        Self {
            guard: PoisonGuard::default(),
            outbox: NewsOutbox::default(),
            started: now,
            informed: false,
        }
    }

    /// Returns what is known.
    pub fn guard(&self) -> &PoisonGuard {
        &self.guard
    }

    /// Returns what is known, for changes of which the other nodes need not hear.
    pub fn guard_mut(&mut self) -> &mut PoisonGuard {
        &mut self.guard
    }

    /// Records that a server answered a request.
    pub fn record_answer(&mut self, now: Moment, run: RunId, others: &[NodeName]) {
        let news = self.guard.record_answer(now, run);
        self.publish(now, CLEARING_DELAY, &news, others);
    }

    /// Records the end of the server beside this node; returns what was under way there.
    pub fn record_end(
        &mut self,
        now: Moment,
        server: ServerLife,
        others: &[NodeName],
    ) -> Vec<RunningRequest> {
        let ended = self.guard.record_end(now, server);
        let contents = ended.iter().map(|request| request.content).collect();
        let news = self.guard.records(contents);
        self.publish(now, Duration::ZERO, &news, others);
        ended
    }

    /// Records that the node beside a server was lost with a request; returns whether the content is suspected
    /// more than before.
    pub fn record_lost(
        &mut self,
        now: Moment,
        content: ContentDigest,
        server: ServerLife,
        was_last_trial: bool,
        others: &[NodeName],
    ) -> bool {
        let is_news = self.guard.record_lost(now, content, server, was_last_trial);
        if is_news {
            let news = self.guard.records(vec![content]);
            self.publish(now, Duration::ZERO, &news, others);
        }
        is_news
    }

    /// Takes back what [`Self::record_lost`] recorded, since the server is alive or the node beside it knows
    /// better.
    pub fn retract_lost(&mut self, now: Moment, server: ServerLife, others: &[NodeName]) {
        let news = self.guard.retract_lost(now, server);
        self.publish(now, CLEARING_DELAY, &news, others);
    }

    /// Merges what another node knows, and tells the others if this node knows better.
    pub fn merge<O>(&mut self, now: Moment, content: ContentDigest, ends: &[ServerEnd], others: O)
    where
        O: FnOnce() -> Vec<NodeName>,
    {
        let news = self.guard.merge(now, content, ends);
        if !news.is_empty() {
            self.publish(now, Duration::ZERO, &news, &others());
        }
    }

    /// Tells nodes with a process that was not known before all that is known. It may have asked others.
    pub fn tell_all(&mut self, now: Moment, nodes: &[NodeName]) {
        if !self.guard.table().is_empty() {
            self.outbox.push_all(now, nodes);
        }
    }

    /// Queues news of another node for those to which it is to be passed on.
    pub fn relay(&mut self, now: Moment, news: &SuspectNews) {
        let contents: Vec<ContentDigest> =
            news.records.iter().map(|record| record.content).collect();
        self.outbox.push(now, now, &contents, &news.relay);
    }

    /// Returns everything that is known.
    pub fn all(&self, now: Moment) -> SuspectNews {
        SuspectNews {
            records: self.guard.table().records(),
            relay: Vec::new(),
            informed: self.is_informed(now),
        }
    }

    /// Returns the letters that are due, each with its message.
    pub fn take_letters(&mut self, now: Moment) -> Vec<(NewsLetter, SuspectNews)> {
        let informed = self.is_informed(now);
        let letters = self.outbox.take_due(now).into_iter();
        let with_news = letters.map(|letter| {
            let news = SuspectNews {
                records: match &letter.contents {
                    Some(contents) => self.guard.records(contents.clone()),
                    None => self.guard.table().records(),
                },
                relay: letter.relay.clone(),
                informed,
            };
            (letter, news)
        });
        with_news.collect()
    }

    /// Records whether a letter was confirmed.
    pub fn record_delivery(&mut self, now: Moment, letter: NewsLetter, confirmed: bool) {
        match confirmed {
            true => self.outbox.confirm(now, &letter),
            false => self.outbox.fail(now, letter),
        }
    }

    /// Returns when the next letter is due.
    pub fn next_due(&self) -> Option<Moment> {
        self.outbox.next_due()
    }

    /// Returns whether every node that confirms what it is told has heard what is due.
    pub fn is_told(&self, now: Moment) -> bool {
        self.outbox.is_told(now)
    }

    /// Records that another node has told this process what it knows.
    pub fn set_informed(&mut self) {
        self.informed = true;
    }

    /// Forgets what is old, and what was to be told to nodes that are not members any more.
    pub fn review<P>(&mut self, now: Moment, is_member: P)
    where
        P: Fn(&NodeName) -> bool,
    {
        self.guard.expire(now);
        self.outbox.retain(is_member);
    }

    /// Returns whether this process knows what the others know, as far as it could find out. Until then it sends
    /// to its own server only what another node has chosen it for, which says what it knows.
    pub fn is_informed(&self, now: Moment) -> bool {
        self.informed || now.since(self.started) >= MAX_ASKING_WAIT
    }

    fn publish(
        &mut self,
        now: Moment,
        delay: Duration,
        news: &[SuspectRecord],
        others: &[NodeName],
    ) {
        let contents: Vec<ContentDigest> = news.iter().map(|record| record.content).collect();
        self.outbox.push(now, now + delay, &contents, others);
    }
}
