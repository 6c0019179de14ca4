//! A backend server's state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use quetzalrack_core::boundary::GrantOrder;
use quetzalrack_core::cluster::Announcement;
use quetzalrack_core::ids::AttemptId;
use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::Incarnation;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use super::Admission;
use super::AnswerPlan;
use super::Arrival;
use super::GrantRecord;
use super::RunRecord;
use super::ServerFaults;
use super::ServerSettings;
use super::ServerTruth;
use super::work::Work;
use crate::process::wall_us;

/// Is the state that all calls share.
#[derive(Debug)]
pub struct BackendServer {
    /// The settings.
    pub settings: ServerSettings,
    incarnation: Incarnation,
    work: Mutex<Work>,
    changed: Notify,
}

impl BackendServer {
    /// Makes a server in a new life.
    pub fn new(settings: ServerSettings) -> Self {
        let now_us = wall_us();
        let incarnation = Incarnation(now_us);
        let left = match settings.starts_cold {
            true => settings.warm_up_ms.as_duration(),
            false => Duration::ZERO,
        };
        let work = Work::new(&settings, left, now_us);
        Self {
            settings,
            incarnation,
            work: Mutex::new(work),
            changed: Notify::new(),
        }
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> ServerFaults {
        self.work.lock().faults
    }

    /// Replaces the faults; turning cold takes effect once.
    pub fn set_faults(&self, faults: ServerFaults) {
        let mut work = self.work.lock();
        if faults.turn_cold {
            work.turn_cold(self.settings.warm_up_ms.as_duration());
        }
        work.faults = ServerFaults {
            turn_cold: false,
            ..faults
        };
        drop(work);
        self.changed.notify_waiters();
    }

    /// Resolves when a slot may be free or the faults have changed.
    pub fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// Notes a request's connection and returns what it costs.
    pub fn connect(&self, sender: Option<SocketAddr>) -> Duration {
        let is_new =
            sender.is_some_and(|sender| self.work.lock().connections.note(sender, wall_us()));
        match is_new {
            true => self.settings.connect_cost_ms.as_duration(),
            false => Duration::ZERO,
        }
    }

    /// Takes a grant, or returns the newer fence that is known. A server that does not check takes
    /// every grant.
    pub fn take_grant(&self, order: &GrantOrder, sender: Option<SocketAddr>) -> Result<(), Fence> {
        let mut work = self.work.lock();
        let newest = work.fences.take(&order.slice, order.fence);
        let outcome = if self.settings.checks_fence {
            newest
        } else {
            Ok(())
        };
        work.grants.push(GrantRecord {
            slice: order.slice.clone(),
            fence: order.fence,
            taken: outcome.is_ok(),
            sender,
            at_us: wall_us(),
        });
        outcome
    }

    /// Checks a request's fence; a server that does not check lets every request pass.
    pub fn check_fence(&self, arrival: &Arrival) -> Result<(), Fence> {
        let (Some(slice), Some(fence)) = (&arrival.slice, arrival.fence) else {
            return Ok(());
        };
        let mut work = self.work.lock();
        let newest = work.fences.take(slice, fence);
        if !self.settings.checks_fence {
            return Ok(());
        }
        work.counts.outdated += u64::from(newest.is_err());
        newest
    }

    /// Decides on a request; `waited` says whether it was counted as waiting before.
    pub fn admit(&self, waited: bool) -> Admission {
        let mut work = self.work.lock();
        work.waiting -= u32::from(waited);
        let admission = work.decide(&self.settings);
        match admission {
            Admission::Begun { .. } => work.running += 1,
            Admission::Waits => work.waiting += 1,
            Admission::Shed => work.counts.shed += 1,
        }
        work.cold_passes(&self.settings);
        admission
    }

    /// Begins an admitted run; returns its place in the truth and what stops it.
    pub fn begin(&self, arrival: &Arrival) -> (usize, Arc<Notify>) {
        let mut work = self.work.lock();
        let record = RunRecord {
            target: arrival.target.clone(),
            request: arrival.request,
            attempt: arrival.attempt,
            idempotency: arrival.idempotency,
            slice: arrival.slice.clone(),
            fence: arrival.fence,
            sender: arrival.sender,
            arrived_us: arrival.arrived_us,
            began_us: wall_us(),
            ended_us: None,
            cancelled: false,
            running: work.running,
            cold: work.cold.is_cold(),
        };
        let stop = Arc::new(Notify::new());
        if let Some(attempt) = arrival.attempt {
            work.stops.insert(attempt, Arc::clone(&stop));
        }
        work.runs.push(record);
        (work.runs.len() - 1, stop)
    }

    /// Ends a run.
    pub fn end(&self, run: usize, cancelled: bool) {
        let mut work = self.work.lock();
        work.running -= 1;
        work.counts.cancelled += u64::from(cancelled);
        let mut attempt = None;
        if let Some(record) = work.runs.get_mut(run) {
            record.ended_us = Some(wall_us());
            record.cancelled = cancelled;
            attempt = record.attempt;
        }
        if let Some(attempt) = attempt {
            work.stops.remove(&attempt);
        }
        work.cold_passes(&self.settings);
        drop(work);
        self.changed.notify_waiters();
    }

    /// Stops an attempt if it still runs.
    pub fn cancel(&self, attempt: AttemptId) {
        let mut work = self.work.lock();
        work.counts.cancellations += 1;
        if let Some(stop) = work.stops.get(&attempt) {
            stop.notify_one();
        }
    }

    /// Gives a waiting request up because its deadline has passed.
    pub fn expire(&self) {
        let mut work = self.work.lock();
        work.waiting -= 1;
        work.counts.expired += 1;
    }

    /// Draws one request's time.
    pub fn draw_time(&self, slowness: u32) -> Duration {
        let mut work = self.work.lock();
        let straggle = work.faults.straggle.unwrap_or(1.0).clamp(0.0, 1e4);
        let time = self.settings.service_time.draw(&mut work.random);
        time.mul_f64(straggle) * slowness
    }

    /// Plans how the answer of an attempt goes out.
    pub fn plan_answer(&self, attempt: Option<AttemptId>) -> AnswerPlan {
        self.work.lock().plan_answer(attempt)
    }

    /// Counts a probe.
    pub fn count_probe(&self) {
        self.work.lock().counts.probes += 1;
    }

    /// Says what the server announces: the true state and load, late or falsified as told.
    pub fn announcement(&self, address: SocketAddr) -> Announcement {
        let mut work = self.work.lock();
        work.cold_passes(&self.settings);
        let state = work.reported_state();
        let reported_load = work.reported_load(&self.settings);
        Announcement {
            service: self.settings.service.clone(),
            server: self.settings.server.clone(),
            address,
            incarnation: self.incarnation,
            slots: self.settings.slots,
            connections: self.settings.connections,
            checks_fence: self.settings.checks_fence,
            state,
            reported_load,
        }
    }

    /// Returns what the server truly did, its runs from the given one on.
    pub fn truth(&self, from: usize) -> ServerTruth {
        let mut work = self.work.lock();
        work.cold_passes(&self.settings);
        ServerTruth {
            server: self.settings.server.clone(),
            service: self.settings.service.clone(),
            incarnation: self.incarnation,
            checks_fence: self.settings.checks_fence,
            cold_slots: self.settings.cold_slots,
            cold: work.cold.is_cold(),
            counts: work.counts_now(),
            grants: work.grants.clone(),
            runs: work.runs.iter().skip(from).cloned().collect(),
        }
    }
}
