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
use super::exit_notifier::ExitNotifier;
use super::intent_driver::IntentDriver;
use super::intent_sources::IntentSources;
use super::ownership_driver::OwnershipDriver;
use super::server_tracker::ServerTracker;

/// Interval between ticks of the state machines.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between reads of the traffic threads' statistics.
const STATS_INTERVAL: Duration = Duration::from_millis(200);

/// Runs the intent and ownership state machines on one thread.
pub struct ControlLoop {
    parts: ControlParts,
    intent: IntentDriver,
    ownership: OwnershipDriver,
    server: ServerTracker,
    last_tick: Moment,
    last_stats: Moment,
    may_republish: bool,
}

impl ControlLoop {
    /// Starts the thread; it exits after [`ControlEvent::Stop`], or when every sender is dropped. The
    /// returned receiver becomes true when the thread exits, also by a panic.
    pub fn spawn(
        parts: ControlParts,
        receiver: Receiver<ControlEvent>,
        seed: u64,
    ) -> io::Result<(JoinHandle<()>, watch::Receiver<bool>)> {
        let (sender, exited) = watch::channel(false);
        let name = "control".to_owned();
        let thread = thread::Builder::new().name(name).spawn(move || {
            let _notifier = ExitNotifier(sender);
            let control_loop = Self::open(parts, seed);
            control_loop.run(&receiver);
        })?;
        Ok((thread, exited))
    }

    fn open(parts: ControlParts, seed: u64) -> Self {
        let now = parts.boundaries.clock.now();
        Self {
            intent: IntentDriver::open(&parts),
            ownership: OwnershipDriver::open(&parts, seed),
            server: ServerTracker::default(),
            last_tick: now,
            last_stats: now,
            may_republish: false,
            parts,
        }
    }

    fn run(mut self, receiver: &Receiver<ControlEvent>) {
        loop {
            self.read_log();
            let elapsed = self.parts.boundaries.clock.now().since(self.last_tick);
            let event = receiver.recv_timeout(TICK_INTERVAL.saturating_sub(elapsed));
            // The clock is read after the wait, so that a thread that was suspended during it
            // detects lapsed leases before it handles the event.
            let now = self.parts.boundaries.clock.now();
            match event {
                Ok(ControlEvent::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(event) => self.handle(now, event),
                Err(RecvTimeoutError::Timeout) => {}
            }
            if now.since(self.last_tick) >= TICK_INTERVAL {
                self.tick(now);
            }
            self.parts.meter.record();
        }
    }

    /// Continues reading the streams that this node has to apply_intent itself.
    fn read_log(&mut self) {
        let now = self.parts.boundaries.clock.now();
        let needs_intent = self.ownership.state().needs_intent_stream(now);
        self.intent.follow(needs_intent, &self.parts);
        self.ownership.follow(now, &self.parts);
    }

    fn handle(&mut self, now: Moment, event: ControlEvent) {
        match event {
            ControlEvent::IntentRead(outcome) => {
                let newest = self.intent.handle_read(now, outcome, &self.parts);
                self.apply_intent(now, newest);
            }
            ControlEvent::ControlRead(outcome) => {
                self.ownership.handle_read(now, outcome, &self.parts);
            }
            ControlEvent::Message { from, message } => {
                self.parts.inbox.release_slot();
                let message = *message;
                self.step_ownership(now, OwnershipEvent::MessageReceived { from, message });
            }
            ControlEvent::Announced(announcement) => self.handle_announcement(now, *announcement),
            ControlEvent::Ownership(event) => self.step_ownership(now, *event),
            ControlEvent::SnapshotFound(snapshot) => {
                self.step_intent(now, IntentEvent::SnapshotReceived(snapshot));
            }
            ControlEvent::KeysChanged => {
                let keys = (*self.parts.keys.operators()).clone();
                self.step_intent(now, IntentEvent::KeysChanged(keys));
            }
            ControlEvent::ShutdownRequested => {
                self.parts.view.shutting_down.store(true, Ordering::Release);
                self.step_ownership(now, OwnershipEvent::ShutdownRequested);
            }
            // `run` returns on this event.
            ControlEvent::Stop => {}
        }
    }

    fn tick(&mut self, now: Moment) {
        self.last_tick = now;
        let sources = IntentSources::of(self.ownership.state());
        let newest = self.intent.tick(now, &sources, &self.parts);
        self.apply_intent(now, newest);
        if self.server.take_lost(now) {
            log::warn!(event = "server_lost"; "no announcement from the backend server for too long");
            self.parts.view.announcement.store(None);
            self.step_ownership(now, OwnershipEvent::ServerLost);
        }
        self.step_ownership(now, OwnershipEvent::Tick);
        if now.since(self.last_stats) >= STATS_INTERVAL {
            self.last_stats = now;
            let stats = self.parts.traffic.stats();
            self.step_ownership(now, OwnershipEvent::TrafficMeasured(stats));
            self.publish_controller(now);
        }
    }

    fn handle_announcement(&mut self, now: Moment, announcement: Announcement) {
        if !self.server.record_announcement(now, &announcement) {
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
        self.step_ownership(now, OwnershipEvent::ServerAnnounced(announcement));
    }

    fn step_ownership(&mut self, now: Moment, event: OwnershipEvent) {
        self.ownership.step(now, event, &self.parts);
    }

    fn step_intent(&mut self, now: Moment, event: IntentEvent) {
        let newest = self.intent.step(now, event, &self.parts);
        self.apply_intent(now, newest);
    }

    fn apply_intent(&mut self, now: Moment, newest: Option<Arc<InForce>>) {
        if let Some(in_force) = newest {
            self.step_ownership(now, OwnershipEvent::IntentChanged(in_force));
        }
    }

    /// Publishes which controller the node follows, and allows only the controller to republish the
    /// intent.
    fn publish_controller(&mut self, now: Moment) {
        let status = self.controller_status();
        let is_controller = status.as_ref().is_some_and(|status| status.here);
        self.parts.board.controller.store(status.map(Arc::new));
        if is_controller != self.may_republish {
            self.may_republish = is_controller;
            self.step_intent(now, IntentEvent::RepublishAllowed(is_controller));
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
