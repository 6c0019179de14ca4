//! The loop of the control thread.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use quetzalrack_core::cluster::Announcement;
use quetzalrack_core::intent::InForce;
use quetzalrack_core::intent::IntentEvent;
use quetzalrack_core::ownership::OwnershipEvent;
use quetzalrack_core::time::Moment;
use quetzalrack_wire::status::ControllerStatus;
use tokio::sync::watch;

use super::ControlEvent;
use super::ControlParts;
use super::end_notice::EndNotice;
use super::intent_side::IntentSide;
use super::intent_sources::IntentSources;
use super::ownership_side::OwnershipSide;
use super::server_watch::ServerWatch;

/// How often the state machines learn that time has passed.
const TICK: Duration = Duration::from_millis(50);
/// How often the traffic threads' counts are read.
const MEASURE: Duration = Duration::from_millis(200);

/// Runs both state machines on one thread.
pub struct ControlLoop {
    parts: ControlParts,
    intent: IntentSide,
    ownership: OwnershipSide,
    server: ServerWatch,
    ticked: Moment,
    measured: Moment,
    republishes: bool,
}

impl ControlLoop {
    /// Starts the thread; it ends after [`ControlEvent::Stop`], or when every sender is gone. The
    /// receiver becomes true when the thread ends, whatever the reason.
    pub fn spawn(
        parts: ControlParts,
        receiver: Receiver<ControlEvent>,
        seed: u64,
    ) -> io::Result<(JoinHandle<()>, watch::Receiver<bool>)> {
        let (sender, ended) = watch::channel(false);
        let name = "control".to_owned();
        let thread = thread::Builder::new().name(name).spawn(move || {
            let _notice = EndNotice(sender);
            let control = Self::open(parts, seed);
            control.run(&receiver);
        })?;
        Ok((thread, ended))
    }

    fn open(parts: ControlParts, seed: u64) -> Self {
        let now = parts.boundaries.clock.now();
        Self {
            intent: IntentSide::open(&parts),
            ownership: OwnershipSide::open(&parts, seed),
            server: ServerWatch::default(),
            ticked: now,
            measured: now,
            republishes: false,
            parts,
        }
    }

    fn run(mut self, receiver: &Receiver<ControlEvent>) {
        loop {
            self.follow_log();
            let waited = self.parts.boundaries.clock.now().since(self.ticked);
            let event = receiver.recv_timeout(TICK.saturating_sub(waited));
            // The clock is read after the wait: a thread that was paused in it finds its leases
            // lapsed before it acts on anything.
            let now = self.parts.boundaries.clock.now();
            match event {
                Ok(ControlEvent::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(event) => self.handle(now, event),
                Err(RecvTimeoutError::Timeout) => {}
            }
            if now.since(self.ticked) >= TICK {
                self.tick(now);
            }
            self.parts.meter.note();
        }
    }

    /// Reads both streams on, where this node has to.
    fn follow_log(&mut self) {
        let now = self.parts.boundaries.clock.now();
        let needs_intent = self.ownership.state().needs_intent_stream(now);
        self.intent.follow(needs_intent, &self.parts);
        self.ownership.follow(now, &self.parts);
    }

    fn handle(&mut self, now: Moment, event: ControlEvent) {
        match event {
            ControlEvent::IntentRead(outcome) => {
                let found = self.intent.take_read(now, outcome, &self.parts);
                self.follow(now, found);
            }
            ControlEvent::ControlRead(outcome) => {
                self.ownership.take_read(now, outcome, &self.parts);
            }
            ControlEvent::Message { from, message } => {
                self.parts.inbox.message_taken();
                let message = *message;
                self.own(now, OwnershipEvent::MessageReceived { from, message });
            }
            ControlEvent::Announced(announcement) => self.hear_server(now, *announcement),
            ControlEvent::Ownership(event) => self.own(now, *event),
            ControlEvent::SnapshotFound(snapshot) => {
                self.plan(now, IntentEvent::SnapshotReceived(snapshot));
            }
            ControlEvent::KeysChanged => {
                let keys = (*self.parts.keys.operators()).clone();
                self.plan(now, IntentEvent::KeysChanged(keys));
            }
            ControlEvent::ShutdownRequested => {
                self.parts.view.leaving.store(true, Ordering::Release);
                self.own(now, OwnershipEvent::ShutdownRequested);
            }
            // The loop ends before it comes here.
            ControlEvent::Stop => {}
        }
    }

    fn tick(&mut self, now: Moment) {
        self.ticked = now;
        let sources = IntentSources::of(self.ownership.state());
        let found = self.intent.tick(now, &sources, &self.parts);
        self.follow(now, found);
        if self.server.has_fallen_silent(now) {
            log::warn!(event = "server_lost"; "the backend server stopped announcing itself");
            self.parts.view.announcement.store(None);
            self.own(now, OwnershipEvent::ServerLost);
        }
        self.own(now, OwnershipEvent::Tick);
        if now.since(self.measured) >= MEASURE {
            self.measured = now;
            let measure = self.parts.traffic.measure();
            self.own(now, OwnershipEvent::TrafficMeasured(measure));
            self.show_controller(now);
        }
    }

    fn hear_server(&mut self, now: Moment, announcement: Announcement) {
        if !self.server.hear(now, &announcement) {
            return;
        }
        let known = self.parts.view.announcement.load_full();
        if known.is_none_or(|known| known.incarnation != announcement.incarnation) {
            log::info!(
                event = "server_announced",
                server:% = announcement.server,
                incarnation:% = announcement.incarnation;
                "the backend server announced itself"
            );
        }
        let shared = Arc::new(announcement.clone());
        self.parts.view.announcement.store(Some(shared));
        self.own(now, OwnershipEvent::ServerAnnounced(announcement));
    }

    fn own(&mut self, now: Moment, event: OwnershipEvent) {
        self.ownership.step(now, event, &self.parts);
    }

    fn plan(&mut self, now: Moment, event: IntentEvent) {
        let found = self.intent.step(now, event, &self.parts);
        self.follow(now, found);
    }

    fn follow(&mut self, now: Moment, found: Option<Arc<InForce>>) {
        if let Some(in_force) = found {
            self.own(now, OwnershipEvent::IntentChanged(in_force));
        }
    }

    /// Shows whom the node follows, and lets the controller alone keep the intent stream alive.
    fn show_controller(&mut self, now: Moment) {
        let status = self.controller_status();
        let is_here = status.as_ref().is_some_and(|status| status.here);
        self.parts.board.controller.store(status.map(Arc::new));
        if is_here != self.republishes {
            self.republishes = is_here;
            self.plan(now, IntentEvent::RepublishAllowed(is_here));
        }
    }

    fn controller_status(&self) -> Option<ControllerStatus> {
        let state = self.ownership.state();
        let ballot = state.adopted_ballot();
        let followed = state.followed_controller()?;
        Some(ControllerStatus {
            term: ballot.term,
            rank: ballot.rank,
            node: Some(followed.node.clone()),
            here: state.is_controller(),
        })
    }
}
