//! The suspected contents as the traffic threads see them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use quetzalrack_core::boundary::Clock;
use quetzalrack_core::cluster::Member;
use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::RouteName;
use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::poison::ContentDigest;
use quetzalrack_core::traffic::poison::KnownEnds;
use quetzalrack_core::traffic::poison::NewsLetter;
use quetzalrack_core::traffic::poison::PoisonTracker;
use quetzalrack_core::traffic::poison::RunId;
use quetzalrack_core::traffic::poison::RunningRequest;
use quetzalrack_core::traffic::poison::ServerEnd;
use quetzalrack_core::traffic::poison::ServerLife;
use quetzalrack_core::traffic::poison::SuspectNews;
use quetzalrack_core::traffic::poison::Suspicion;
use tokio::sync::Notify;

use crate::shared::SharedView;

/// How long the outcome of a request waits until the other nodes have heard of the end under it.
const MAX_TELLING_WAIT: Duration = Duration::from_millis(25);

/// Shared by the requests of this node's callers and those for the server beside it.
pub(in crate::traffic) struct Suspects {
    node: NodeName,
    pub(super) clock: Arc<dyn Clock>,
    view: Arc<SharedView>,
    tracker: Mutex<PoisonTracker>,
    pub(super) changed: Notify,
    queued: Notify,
    delivered: Notify,
}

impl Suspects {
    pub(in crate::traffic) fn new(
        node: NodeName,
        clock: Arc<dyn Clock>,
        view: Arc<SharedView>,
    ) -> Self {
        Self {
            tracker: Mutex::new(PoisonTracker::new(clock.now())),
            node,
            clock,
            view,
            changed: Notify::new(),
            queued: Notify::new(),
            delivered: Notify::new(),
        }
    }

    pub(super) fn node(&self) -> &NodeName {
        &self.node
    }

    pub(super) fn clock(&self) -> &dyn Clock {
        self.clock.as_ref()
    }

    /// Returns how strongly a content is suspected.
    pub(in crate::traffic) fn suspicion(&self, content: Option<&ContentDigest>) -> Suspicion {
        content.map_or(Suspicion::None, |content| {
            let now = self.clock.now();
            self.tracker().guard().table().suspicion(now, content)
        })
    }

    /// Returns what this node knows of the ends of servers under a content.
    pub(in crate::traffic) fn ends(&self, content: Option<&ContentDigest>) -> KnownEnds {
        let now = self.clock.now();
        let known = content.map(|content| {
            let tracker = self.tracker();
            KnownEnds {
                list: tracker.guard().table().ends(content).to_vec(),
                informed: tracker.is_informed(now),
            }
        });
        known.unwrap_or_default()
    }

    /// Returns how many servers ended under a content.
    pub(in crate::traffic) fn ends_counted(&self, content: Option<&ContentDigest>) -> usize {
        content.map_or(0, |content| {
            self.tracker().guard().table().ends_counted(content)
        })
    }

    /// Returns whether a node that knows these ends knows all that count here.
    pub(in crate::traffic) fn is_covered(
        &self,
        content: &ContentDigest,
        told: &[ServerEnd],
    ) -> bool {
        self.tracker().guard().table().is_covered(content, told)
    }

    /// Records the end of the server beside this node, and returns what was under way there.
    pub(in crate::traffic) fn record_end(&self, server: ServerLife) -> Vec<RunningRequest> {
        let others = self.others();
        let ended = self.update(|now, tracker| tracker.record_end(now, server, &others));
        for request in &ended {
            self.log_suspect(&request.content, &request.route);
        }
        ended
    }

    /// Records that a request was lost together with the node that it was sent to.
    pub(in crate::traffic) fn record_lost(
        &self,
        content: ContentDigest,
        route: &RouteName,
        member: &Member,
        was_last_trial: bool,
    ) {
        let (life, others) = (node_life(member), self.others());
        let is_news = self.update(|now, tracker| {
            tracker.record_lost(now, content, life, was_last_trial, &others)
        });
        if is_news {
            self.log_suspect(&content, route);
        }
    }

    /// Records that the node responds that requests were lost with: it will have noticed itself whether its server
    /// ended.
    pub(in crate::traffic) fn record_contact(&self, member: &Member) {
        if self.tracker().guard().table().is_empty() {
            return;
        }
        let (life, others) = (node_life(member), self.others());
        self.update(|now, tracker| tracker.retract_lost(now, life, &others));
    }

    /// Records that a request was answered by way of another node.
    pub(in crate::traffic) fn record_answer_elsewhere(&self, content: ContentDigest) {
        self.tracker().guard_mut().record_answer_elsewhere(content);
    }

    /// Merges what a node says that sends a request, or that has refused one.
    pub(in crate::traffic) fn merge_ends(&self, content: &ContentDigest, ends: &[ServerEnd]) {
        if !ends.is_empty() {
            let others = || self.others();
            self.update(|now, tracker| tracker.merge(now, *content, ends, others));
        }
    }

    /// Merges what another node tells, and passes it on if it asks for that.
    pub(in crate::traffic) fn receive(&self, news: &SuspectNews) {
        for record in &news.records {
            self.merge_ends(&record.content, &record.ends);
        }
        self.update(|now, tracker| tracker.relay(now, news));
    }

    /// Returns everything that this node knows.
    pub(in crate::traffic) fn all(&self) -> SuspectNews {
        self.tracker().all(self.clock.now())
    }

    /// Waits until the other nodes have heard of the latest ends, or for a moment. Whoever learns of the outcome
    /// first may ask again at any of them, and this process may end.
    pub(in crate::traffic) async fn wait_told(&self) {
        let told = async {
            loop {
                let delivered = self.delivered.notified();
                if self.tracker().is_told(self.clock.now()) {
                    return;
                }
                delivered.await;
            }
        };
        let _ = tokio::time::timeout(MAX_TELLING_WAIT, told).await;
    }

    pub(super) fn take_letters(&self) -> Vec<(NewsLetter, SuspectNews)> {
        self.tracker().take_letters(self.clock.now())
    }

    pub(super) fn record_delivery(&self, letter: NewsLetter, confirmed: bool) {
        self.update(|now, tracker| tracker.record_delivery(now, letter, confirmed));
        self.delivered.notify_waiters();
    }

    pub(super) fn set_informed(&self) {
        self.update(|_, tracker| tracker.set_informed());
    }

    /// Waits until a letter is due, `longest` at most.
    pub(super) async fn wait_due(&self, longest: Duration) {
        let due = self.tracker().next_due();
        let wait = due.map_or(longest, |due| due.since(self.clock.now()).min(longest));
        let _ = tokio::time::timeout(wait, self.queued.notified()).await;
    }

    pub(super) fn review(&self) {
        let routing = self.view.routing.load();
        let now = self.clock.now();
        self.tracker()
            .review(now, |node| routing.nodes.contains_key(node));
    }

    pub(super) fn record_answer(&self, run: RunId) {
        let others = match self.tracker().guard().table().is_empty() {
            true => Vec::new(),
            false => self.others(),
        };
        self.update(|now, tracker| tracker.record_answer(now, run, &others));
    }

    pub(super) fn update<C, T>(&self, change: C) -> T
    where
        C: FnOnce(Moment, &mut PoisonTracker) -> T,
    {
        let (result, has_letters) = {
            let mut tracker = self.tracker();
            let result = change(self.clock.now(), &mut tracker);
            (result, tracker.next_due().is_some())
        };
        self.changed.notify_waiters();
        if has_letters {
            self.queued.notify_one();
        }
        result
    }

    /// Returns the other nodes, beginning after this node's name, so that not every node has the same others pass
    /// its news on.
    fn others(&self) -> Vec<NodeName> {
        let routing = self.view.routing.load();
        let after = routing.nodes.keys().filter(|node| **node > self.node);
        let before = routing.nodes.keys().filter(|node| **node < self.node);
        after.chain(before).cloned().collect()
    }

    pub(super) fn tracker(&self) -> MutexGuard<'_, PoisonTracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Logs a content that is not sent any more, at the node that noticed its last end.
    fn log_suspect(&self, content: &ContentDigest, route: &RouteName) {
        let tracker = self.tracker();
        let suspicion = tracker.guard().table().suspicion(self.clock.now(), content);
        if !suspicion.is_poison() {
            return;
        }
        log::warn!(
            event = "poison_request", content:% = content,
            ends = tracker.guard().table().ends_counted(content),
            route = route.as_str();
            "requests of this content are not sent any more"
        );
    }
}

/// The identity of the server beside a node as other nodes tell it: they know the node's process, not the
/// server's.
fn node_life(member: &Member) -> ServerLife {
    ServerLife::of(member.node.as_str(), member.incarnation.0)
}
