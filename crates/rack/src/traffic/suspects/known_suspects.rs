//! The suspected contents as the traffic thread sees them.

use std::cell::Cell;
use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::RouteName;
use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::poison::ContentDigest;
use quetzalrack_core::traffic::poison::PoisonGuard;
use quetzalrack_core::traffic::poison::RunId;
use quetzalrack_core::traffic::poison::RunningRequest;
use quetzalrack_core::traffic::poison::ServerEnd;
use quetzalrack_core::traffic::poison::SuspectRecord;
use quetzalrack_core::traffic::poison::Suspicion;
use quetzalrack_core::traffic::poison::TrialVerdict;
use quetzalrack_mesh::model::ServerIncarnation;
use quetzalrack_mesh::ownership::Directory;
use quetzalrack_mesh::traffic::suspects::LostHop;
use quetzalrack_mesh::traffic::suspects::LostHops;
use quetzalrack_mesh::traffic::suspects::NewsLetter;
use quetzalrack_mesh::traffic::suspects::NewsOutbox;
use quetzalrack_mesh::traffic::suspects::SuspectNews;
use tokio::sync::Notify;

use crate::clock;
use crate::metrics::Metrics;
use crate::shared::Board;

/// How long the outcome of a request waits until the other nodes have heard of the end under it.
const MAX_TELLING_WAIT: Duration = Duration::from_millis(25);
/// How long after its start a process waits for what the other nodes know before it sends to the server.
const MAX_ASKING_WAIT: Duration = Duration::from_millis(500);
/// How long news that clears a content is held back, so that one message carries several.
const CLEARING_DELAY: Duration = Duration::from_millis(50);

/// Shared by the requests of this node's clients and those for the server beside it.
pub(in crate::traffic) struct Suspects {
    node_name: NodeName,
    board: Arc<Board>,
    metrics: Arc<Metrics>,
    guard: RefCell<PoisonGuard>,
    lost_hops: RefCell<LostHops>,
    outbox: RefCell<NewsOutbox>,
    changed: Notify,
    queued: Notify,
    delivered: Notify,
    started: Moment,
    /// Whether other nodes have told this process what they know.
    informed: Cell<bool>,
}

impl Suspects {
    pub(in crate::traffic) fn new(
        node_name: NodeName,
        board: Arc<Board>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            node_name,
            board,
            metrics,
            guard: RefCell::default(),
            lost_hops: RefCell::default(),
            outbox: RefCell::default(),
            changed: Notify::new(),
            queued: Notify::new(),
            delivered: Notify::new(),
            started: clock::now(),
            informed: Cell::default(),
        }
    }

    /// Returns how strongly a content is suspected.
    pub(in crate::traffic) fn suspicion(&self, content: &ContentDigest) -> Suspicion {
        self.guard.borrow().suspicion(content)
    }

    /// Returns the ends of servers under a content.
    pub(in crate::traffic) fn ends(&self, content: &ContentDigest) -> Vec<ServerEnd> {
        self.guard.borrow().table().ends(content).to_vec()
    }

    /// Returns how many servers ended under a content.
    pub(in crate::traffic) fn ends_counted(&self, content: &ContentDigest) -> usize {
        self.guard.borrow().table().ends_counted(content)
    }

    /// Returns whether a node that knows these ends knows all that count here.
    pub(in crate::traffic) fn is_covered(
        &self,
        content: &ContentDigest,
        told: &[ServerEnd],
    ) -> bool {
        self.guard.borrow().table().is_covered(content, told)
    }

    /// Decides whether a request may be sent to the server beside this node.
    pub(in crate::traffic) fn try_send(&self, content: &ContentDigest) -> TrialVerdict {
        self.guard.borrow().try_send(content)
    }

    /// Waits until a verdict may have changed.
    pub(in crate::traffic) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Records that a request is about to be written to the server.
    pub(in crate::traffic) fn begin(
        &self,
        server: &ServerIncarnation,
        content: ContentDigest,
        route: RouteName,
    ) -> RunId {
        let mut guard = self.guard.borrow_mut();
        guard.begin(clock::now(), server.life(), content, route)
    }

    /// Records that the server answered a request.
    pub(in crate::traffic) fn record_answer(&self, run: RunId) {
        let news = self.guard.borrow_mut().record_answer(clock::now(), run);
        self.publish(&news, CLEARING_DELAY);
        self.changed.notify_waiters();
    }

    /// Records that the server certainly did not run a request.
    pub(in crate::traffic) fn record_not_run(&self, run: RunId) {
        self.guard.borrow_mut().record_not_run(run);
        self.changed.notify_waiters();
    }

    /// Records that nobody waits for the answer to a request any more.
    pub(in crate::traffic) fn record_cancelled(&self, run: RunId) {
        let mut guard = self.guard.borrow_mut();
        guard.record_cancelled(clock::now(), run);
        self.changed.notify_waiters();
    }

    /// Records the end of the server beside this node, and returns what was under way there.
    pub(in crate::traffic) fn record_end(&self, server: &ServerIncarnation) -> Vec<RunningRequest> {
        let mut guard = self.guard.borrow_mut();
        let ended = guard.record_end(clock::now(), server.life());
        let contents = ended.iter().map(|request| request.content).collect();
        let news = guard.records(contents);
        drop(guard);
        for request in &ended {
            self.log_suspect(&request.content, Some(&request.route));
        }
        self.publish(&news, Duration::ZERO);
        self.changed.notify_waiters();
        ended
    }

    /// Records that a request was lost together with the node that it was sent to.
    pub(in crate::traffic) fn record_lost(&self, content: ContentDigest, lost: LostHop) {
        let life = lost.server.life();
        let is_news = self
            .guard
            .borrow_mut()
            .record_lost(clock::now(), content, life);
        if is_news {
            self.lost_hops.borrow_mut().record(lost);
            let news = self.guard.borrow().records(vec![content]);
            self.log_suspect(&content, None);
            self.publish(&news, Duration::ZERO);
        }
    }

    /// Records that a request was answered by way of another node.
    pub(in crate::traffic) fn record_answer_elsewhere(&self, content: ContentDigest) {
        self.guard.borrow_mut().record_answer_elsewhere(content);
    }

    /// Records that another node has responded.
    pub(in crate::traffic) fn record_contact(&self, node: &NodeName, directory: &Directory) {
        let alive = self.lost_hops.borrow_mut().record_contact(node, directory);
        self.retract(&alive);
    }

    /// Looks up which lost nodes are back, and forgets what is old.
    pub(in crate::traffic) fn review(&self) {
        let now = clock::now();
        let view = self.board.view();
        let alive = self.lost_hops.borrow_mut().resolve(now, &view.directory);
        self.retract(&alive);
        let mut guard = self.guard.borrow_mut();
        guard.expire(now);
        self.metrics.set_suspects(guard.table().len());
        let members = &view.directory.members;
        self.outbox
            .borrow_mut()
            .retain(|node| members.contains_key(node));
    }

    /// Merges what a node says that sends a request, or that has refused one.
    pub(in crate::traffic) fn merge_ends(&self, content: ContentDigest, ends: &[ServerEnd]) {
        let news = self.guard.borrow_mut().merge(clock::now(), content, ends);
        if news {
            self.log_suspect(&content, None);
            self.changed.notify_waiters();
        }
    }

    /// Merges what another node tells, and passes it on if it asks for that.
    pub(in crate::traffic) fn receive(&self, news: &SuspectNews) {
        for record in &news.records {
            self.merge_ends(record.content, &record.ends);
        }
        let contents: Vec<ContentDigest> =
            news.records.iter().map(|record| record.content).collect();
        let now = clock::now();
        self.outbox
            .borrow_mut()
            .push(now, now, &contents, &news.relay);
        self.queued.notify_one();
    }

    /// Returns everything that this node knows.
    pub(in crate::traffic) fn all(&self) -> SuspectNews {
        SuspectNews {
            records: self.guard.borrow().table().records(),
            relay: Vec::new(),
            informed: self.is_informed(),
        }
    }

    /// Returns the letters that are due, each with its message.
    pub(super) fn take_letters(&self) -> Vec<(NewsLetter, SuspectNews)> {
        let letters = self.outbox.borrow_mut().take_due(clock::now());
        let guard = self.guard.borrow();
        let with_news = letters.into_iter().map(|letter| {
            let records = match &letter.contents {
                Some(contents) => guard.records(contents.clone()),
                None => guard.table().records(),
            };
            let relay = letter.relay.clone();
            let informed = self.is_informed();
            let news = SuspectNews {
                records,
                relay,
                informed,
            };
            (letter, news)
        });
        with_news.collect()
    }

    /// Records whether a letter was confirmed.
    pub(super) fn record_delivery(&self, letter: NewsLetter, confirmed: bool) {
        let now = clock::now();
        let mut outbox = self.outbox.borrow_mut();
        match confirmed {
            true => outbox.confirm(now, &letter),
            false => outbox.fail(now, letter),
        }
        self.queued.notify_one();
        self.delivered.notify_waiters();
    }

    /// Waits until the other nodes have heard of the latest ends, or for a moment. Whoever learns of the outcome
    /// first may ask again at any of them, and this process may end.
    pub(in crate::traffic) async fn wait_told(&self) {
        let told = async {
            while !self.outbox.borrow().is_told(clock::now()) {
                self.delivered.notified().await;
            }
        };
        tokio::time::timeout(MAX_TELLING_WAIT, told).await.ok();
    }

    /// Records that other nodes have told this process what they know, or that there are none.
    pub(super) fn set_informed(&self) {
        self.informed.set(true);
        self.changed.notify_waiters();
    }

    /// Returns whether this process knows what the others know, as far as it could find out.
    pub(in crate::traffic) fn is_informed(&self) -> bool {
        self.informed.get() || clock::now().since(self.started) >= MAX_ASKING_WAIT
    }

    /// Waits until a letter is due.
    pub(super) async fn wait_due(&self) {
        let due = self.outbox.borrow().next_due();
        let wait = due.map(|due| due.since(clock::now()));
        match wait {
            Some(wait) => {
                tokio::time::timeout(wait, self.queued.notified())
                    .await
                    .ok();
            }
            None => self.queued.notified().await,
        }
    }

    fn retract(&self, alive: &[ServerIncarnation]) {
        for server in alive {
            let life = server.life();
            let news = self.guard.borrow_mut().retract_lost(clock::now(), life);
            self.publish(&news, CLEARING_DELAY);
            self.changed.notify_waiters();
        }
    }

    /// Queues news for all other nodes.
    fn publish(&self, news: &[SuspectRecord], delay: Duration) {
        if news.is_empty() {
            return;
        }
        let contents: Vec<ContentDigest> = news.iter().map(|record| record.content).collect();
        let view = self.board.view();
        // Begins after this node's name, so that not every node has the same others pass its news on.
        let members = &view.directory.members;
        let after = members.keys().filter(|node| **node > self.node_name);
        let before = members.keys().filter(|node| **node < self.node_name);
        let others: Vec<NodeName> = after.chain(before).cloned().collect();
        let now = clock::now();
        let due = now + delay;
        self.outbox.borrow_mut().push(now, due, &contents, &others);
        self.queued.notify_one();
    }

    fn log_suspect(&self, content: &ContentDigest, route: Option<&RouteName>) {
        let guard = self.guard.borrow();
        let table = guard.table();
        if !table.suspicion(content).is_poison() {
            return;
        }
        let ends = table.ends(content).iter().filter(|end| end.is_standing());
        let servers: Vec<String> = ends.map(|end| end.server.to_string()).collect();
        log::warn!(
            event = "poison_request", content:% = content, ends = table.ends_counted(content),
            route = route.map_or("", RouteName::as_str), servers = servers.join(" "); ""
        );
    }
}
