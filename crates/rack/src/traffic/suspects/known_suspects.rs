//! The suspected contents as the traffic thread sees them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

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
use quetzalrack_core::traffic::poison::SuspectNews;
use quetzalrack_core::traffic::poison::Suspicion;
use quetzalrack_core::traffic::poison::TrialVerdict;
use quetzalrack_mesh::model::ServerIncarnation;
use quetzalrack_mesh::ownership::Directory;
use quetzalrack_mesh::traffic::suspects::KnownNodes;
use quetzalrack_mesh::traffic::suspects::LostHop;
use quetzalrack_mesh::traffic::suspects::LostHops;
use quetzalrack_mesh::traffic::suspects::MAX_AGE_TOLD;
use tokio::sync::Notify;

use crate::clock;
use crate::metrics::Metrics;
use crate::shared::Board;

/// How long the outcome of a request waits until the other nodes have heard of the end under it.
const MAX_TELLING_WAIT: Duration = Duration::from_millis(25);
/// How often a process that has just started looks whether it has waited long enough.
const INFORMED_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The share of the time left that a request waits for a process which does not know yet what others know.
const INFORMED_WAIT_SHARE: f64 = 0.75;

/// Shared by the requests of this node's clients and those for the server beside it.
pub(in crate::traffic) struct Suspects {
    board: Arc<Board>,
    metrics: Arc<Metrics>,
    started: Moment,
    tracker: RefCell<PoisonTracker>,
    nodes: RefCell<KnownNodes>,
    /// The table from which the other nodes were recorded last.
    directory: RefCell<Option<Arc<Directory>>>,
    /// The nodes with a process that is still to be told what this one knows.
    appeared: RefCell<Vec<NodeName>>,
    lost_hops: RefCell<LostHops>,
    changed: Notify,
    queued: Notify,
    delivered: Notify,
}

impl Suspects {
    pub(in crate::traffic) fn new(
        node_name: NodeName,
        board: Arc<Board>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let started = clock::now();
        Self {
            nodes: RefCell::new(KnownNodes::new(node_name)),
            directory: RefCell::default(),
            appeared: RefCell::default(),
            board,
            metrics,
            started,
            tracker: RefCell::new(PoisonTracker::new(started)),
            lost_hops: RefCell::default(),
            changed: Notify::new(),
            queued: Notify::new(),
            delivered: Notify::new(),
        }
    }

    /// Returns how strongly a content is suspected.
    pub(in crate::traffic) fn suspicion(&self, content: &ContentDigest) -> Suspicion {
        let tracker = self.tracker.borrow();
        tracker.guard().table().suspicion(clock::now(), content)
    }

    /// Returns what this node knows of the ends of servers under a content.
    pub(in crate::traffic) fn ends(&self, content: &ContentDigest) -> KnownEnds {
        let tracker = self.tracker.borrow();
        KnownEnds {
            list: tracker.guard().table().ends(content).to_vec(),
            informed: tracker.is_informed(clock::now()),
        }
    }

    /// Returns how many servers ended under a content.
    pub(in crate::traffic) fn ends_counted(&self, content: &ContentDigest) -> usize {
        self.tracker.borrow().guard().table().ends_counted(content)
    }

    /// Returns whether a node that knows these ends knows all that count here.
    pub(in crate::traffic) fn is_covered(
        &self,
        content: &ContentDigest,
        told: &[ServerEnd],
    ) -> bool {
        self.tracker
            .borrow()
            .guard()
            .table()
            .is_covered(content, told)
    }

    /// Decides whether a request may be sent to the server beside this node.
    pub(in crate::traffic) fn try_send(&self, content: &ContentDigest) -> TrialVerdict {
        self.tracker
            .borrow()
            .guard()
            .try_send(clock::now(), content)
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
        let mut tracker = self.tracker.borrow_mut();
        tracker
            .guard_mut()
            .begin(clock::now(), server.life(), content, route)
    }

    /// Records that the server answered a request.
    pub(in crate::traffic) fn record_answer(&self, run: RunId) {
        let others = self.others_if_suspected();
        self.update(|tracker| tracker.record_answer(clock::now(), run, &others));
    }

    /// Records that the server certainly did not run a request.
    pub(in crate::traffic) fn record_not_run(&self, run: RunId) {
        self.update(|tracker| tracker.guard_mut().record_not_run(run));
    }

    /// Records that nobody waits for the answer to a request any more.
    pub(in crate::traffic) fn record_cancelled(&self, run: RunId) {
        self.update(|tracker| tracker.guard_mut().record_cancelled(clock::now(), run));
    }

    /// Records the end of the server beside this node, and returns what was under way there.
    pub(in crate::traffic) fn record_end(&self, server: &ServerIncarnation) -> Vec<RunningRequest> {
        let (life, others) = (server.life(), self.others());
        let ended = self.update(|tracker| tracker.record_end(clock::now(), life, &others));
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
        lost: LostHop,
        was_last_trial: bool,
    ) {
        let (life, others) = (lost.server.life(), self.others());
        let is_news = self.update(|tracker| {
            tracker.record_lost(clock::now(), content, life, was_last_trial, &others)
        });
        if is_news {
            self.lost_hops.borrow_mut().record(lost);
            self.log_suspect(&content, route);
        }
    }

    /// Records that a request was answered by way of another node.
    pub(in crate::traffic) fn record_answer_elsewhere(&self, content: ContentDigest) {
        let mut tracker = self.tracker.borrow_mut();
        tracker.guard_mut().record_answer_elsewhere(content);
    }

    /// Records that a process of another node has responded, and its age unless it runs for long.
    pub(in crate::traffic) fn record_contact(&self, node: &NodeName, age: Option<Duration>) {
        let mut lost_hops = self.lost_hops.borrow_mut();
        let alive = lost_hops.record_contact(clock::now(), node, age);
        drop(lost_hops);
        self.retract(&alive);
    }

    /// Returns how old this process is, unless it runs for long.
    pub(in crate::traffic) fn age_to_tell(&self) -> Option<Duration> {
        let age = clock::now().since(self.started);
        (age < MAX_AGE_TOLD).then_some(age)
    }

    /// Looks up which lost nodes are back, and forgets what is old.
    pub(in crate::traffic) fn review(&self) {
        let now = clock::now();
        let view = self.board.view();
        let mut lost_hops = self.lost_hops.borrow_mut();
        let alive = lost_hops.resolve(now, &view.directory, view.members_confirmed);
        drop(lost_hops);
        self.retract(&alive);
        self.tell_appeared();
        let is_known = |node: &NodeName| self.address_of(node).is_some();
        let mut tracker = self.tracker.borrow_mut();
        tracker.review(now, is_known);
        self.metrics.set_suspects(tracker.guard().table().len());
    }

    /// Merges what a node says that sends a request, or that has refused one.
    pub(in crate::traffic) fn merge_ends(&self, content: ContentDigest, ends: &[ServerEnd]) {
        if !ends.is_empty() {
            let others = || self.others();
            self.update(|tracker| tracker.merge(clock::now(), content, ends, others));
        }
    }

    /// Merges what another node tells, and passes it on if it asks for that.
    pub(in crate::traffic) fn receive(&self, news: &SuspectNews) {
        for record in &news.records {
            self.merge_ends(record.content, &record.ends);
        }
        self.update(|tracker| tracker.relay(clock::now(), news));
    }

    /// Returns everything that this node knows.
    pub(in crate::traffic) fn all(&self) -> SuspectNews {
        self.tracker.borrow().all(clock::now())
    }

    /// Returns the letters that are due, each with its message.
    pub(super) fn take_letters(&self) -> Vec<(NewsLetter, SuspectNews)> {
        self.tracker.borrow_mut().take_letters(clock::now())
    }

    /// Records whether a letter was confirmed.
    pub(super) fn record_delivery(&self, letter: NewsLetter, confirmed: bool) {
        self.update(|tracker| tracker.record_delivery(clock::now(), letter, confirmed));
        self.delivered.notify_waiters();
    }

    /// Waits until the other nodes have heard of the latest ends, or for a moment. Whoever learns of the outcome
    /// first may ask again at any of them, and this process may end.
    pub(in crate::traffic) async fn wait_told(&self) {
        let told = async {
            while !self.tracker.borrow().is_told(clock::now()) {
                self.delivered.notified().await;
            }
        };
        tokio::time::timeout(MAX_TELLING_WAIT, told).await.ok();
    }

    /// Waits until this process knows what the others know, or has started long enough ago; returns whether it
    /// does before most of the time until `deadline` is over.
    pub(in crate::traffic) async fn wait_informed(&self, deadline: Moment) -> bool {
        let start = clock::now();
        let end = start + deadline.since(start).mul_f64(INFORMED_WAIT_SHARE);
        while !self.tracker.borrow().is_informed(clock::now()) {
            if clock::now() >= end {
                return false;
            }
            tokio::time::timeout(INFORMED_POLL_INTERVAL, self.changed())
                .await
                .ok();
        }
        true
    }

    /// Records that another node has told this process what it knows.
    pub(super) fn set_informed(&self) {
        self.update(PoisonTracker::set_informed);
    }

    /// Waits until a letter is due.
    pub(super) async fn wait_due(&self) {
        let due = self.tracker.borrow().next_due();
        let wait = due.map(|due| due.since(clock::now()));
        let queued = self.queued.notified();
        match wait {
            Some(wait) => drop(tokio::time::timeout(wait, queued).await),
            None => queued.await,
        }
    }

    fn update<C, T>(&self, change: C) -> T
    where
        C: FnOnce(&mut PoisonTracker) -> T,
    {
        let result = change(&mut self.tracker.borrow_mut());
        self.changed.notify_waiters();
        if self.tracker.borrow().next_due().is_some() {
            self.queued.notify_one();
        }
        result
    }

    fn retract(&self, alive: &[ServerIncarnation]) {
        for server in alive {
            let (life, others) = (server.life(), self.others());
            self.update(|tracker| tracker.retract_lost(clock::now(), life, &others));
        }
    }

    /// Returns the other nodes.
    pub(super) fn others(&self) -> Vec<NodeName> {
        self.with_nodes(KnownNodes::others)
    }

    /// Returns where a node receives requests from other nodes.
    pub(super) fn address_of(&self, node: &NodeName) -> Option<SocketAddr> {
        self.with_nodes(|nodes| nodes.address_of(node))
    }

    /// Reads the other nodes once what the control thread has listed meanwhile is recorded.
    fn with_nodes<R, T>(&self, read: R) -> T
    where
        R: FnOnce(&KnownNodes) -> T,
    {
        let view = self.board.view();
        let mut nodes = self.nodes.borrow_mut();
        let earlier = self.directory.replace(Some(Arc::clone(&view.directory)));
        if earlier.is_none_or(|earlier| !Arc::ptr_eq(&earlier, &view.directory)) {
            let appeared = nodes.record(clock::now(), &view.directory, &view.voters);
            self.appeared.borrow_mut().extend(appeared);
        }
        read(&nodes)
    }

    /// Tells processes that have appeared what this one knows.
    fn tell_appeared(&self) {
        self.with_nodes(|_| ());
        let appeared = self.appeared.take();
        if !appeared.is_empty() {
            self.update(|tracker| tracker.tell_all(clock::now(), &appeared));
        }
    }

    /// Returns the other nodes if there may be anything to tell them.
    fn others_if_suspected(&self) -> Vec<NodeName> {
        match self.tracker.borrow().guard().table().is_empty() {
            true => Vec::new(),
            false => self.others(),
        }
    }

    /// Logs a content that is not sent any more, at the node that noticed its last end.
    fn log_suspect(&self, content: &ContentDigest, route: &RouteName) {
        let tracker = self.tracker.borrow();
        let table = tracker.guard().table();
        if !table.suspicion(clock::now(), content).is_poison() {
            return;
        }
        let ends = table.ends(content).iter().filter(|end| end.is_standing());
        let servers: Vec<String> = ends.map(|end| end.server.to_string()).collect();
        log::warn!(
            event = "poison_request", content:% = content, ends = table.ends_counted(content),
            route = route.as_str(), servers = servers.join(" "); ""
        );
    }
}
