//! The state machine of admission control.

use std::collections::BTreeMap;
use std::time::Duration;

use super::AdmissionAction;
use super::AdmissionEvent;
use super::AdmissionRequest;
use super::AdmittedRequest;
use super::AttemptOutcome;
use super::ConcurrencyLimiter;
use super::ServerProfile;
use super::Ticket;
use super::WaitQueue;
use crate::cluster::ServerState;
use crate::document::spec::Priority;
use crate::ids::SlotCount;
use crate::time::Moment;
use crate::traffic::refusal::RefusalCode;
use crate::traffic::retry::LatencyWindow;

/// How many requests may wait for each slot. Any more would wait longer than a retry at another
/// node takes.
const QUEUED_PER_SLOT: usize = 2;

/// How many latencies are kept.
const MAX_LATENCIES: usize = 64;
/// How long latencies are kept: a change must show within a second.
const MAX_LATENCY_AGE: Duration = Duration::from_secs(1);
/// Assumed ratio of an abandoned request's full latency to the time until it was abandoned. The
/// true ratio is at least one, and far higher at a straggler.
const ABANDONED_LATENCY_FACTOR: u32 = 2;

/// Decides which requests are sent to the local backend server, and when.
///
/// A request holds its slot from its admission until its end is certain, even after its caller
/// disconnects or its deadline passes, because a suspended backend server continues its requests
/// when it resumes.
#[derive(Clone, Debug)]
pub struct Admission {
    server: Option<Server>,
    queue: WaitQueue,
    running: BTreeMap<Ticket, AdmittedRequest>,
    /// Latencies of responses.
    measured: LatencyWindow,
    /// The same, with estimates for abandoned requests.
    estimated: LatencyWindow,
}

#[derive(Clone, Debug)]
struct Server {
    profile: ServerProfile,
    limiter: ConcurrencyLimiter,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            server: None,
            queue: WaitQueue::default(),
            running: BTreeMap::new(),
            measured: recent_latencies(),
            estimated: recent_latencies(),
        }
    }
}

impl Admission {
    /// Handles an event and returns the resulting actions.
    pub fn step(&mut self, now: Moment, event: AdmissionEvent) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        match event {
            AdmissionEvent::Arrived(request) => self.arrive(now, request, &mut actions),
            AdmissionEvent::Cancelled(ticket) => self.queue.remove(ticket),
            AdmissionEvent::Ended { ticket, outcome } => self.end(now, ticket, outcome),
            AdmissionEvent::ServerAnnounced(profile) => self.update_profile(profile),
            AdmissionEvent::ServerRestored => {
                if let Some(server) = &mut self.server {
                    server.limiter.reset_limit();
                }
            }
            AdmissionEvent::Tick => {}
        }
        self.refuse_late(now, &mut actions);
        self.admit_waiting(now, &mut actions);
        actions
    }

    /// Returns the current limit of concurrent requests.
    pub fn limit(&self) -> SlotCount {
        let server = self.server.as_ref();
        server.map_or(SlotCount(0), |server| server.limiter.limit())
    }

    /// Returns how many slots are in use.
    pub fn in_flight(&self) -> SlotCount {
        SlotCount(self.running.len() as u32)
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the backend server's state as inferred from its responses.
    pub fn state(&self) -> ServerState {
        let server = self.server.as_ref();
        server.map_or(ServerState::Cold, |server| server.limiter.state())
    }

    /// Returns the recent median latency, or the median age of the running requests if that is
    /// longer: a backend server that has stopped responding yields no new latencies.
    pub fn latency(&self, now: Moment) -> Duration {
        let estimated = self.estimated.median();
        let mut ages: Vec<Duration> = self
            .running
            .values()
            .map(|admitted| now.since(admitted.admitted_at))
            .collect();
        ages.sort_unstable();
        let age = ages.get(ages.len() / 2).copied().unwrap_or_default();
        estimated.max(age)
    }

    fn arrive(
        &mut self,
        now: Moment,
        request: AdmissionRequest,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let Some(server) = &self.server else {
            actions.push(AdmissionAction::Refuse(
                request.ticket,
                RefusalCode::NotReady,
            ));
            return;
        };
        if self.would_miss_deadline(now, &request) {
            let code = RefusalCode::DeadlineNotRun;
            actions.push(AdmissionAction::Refuse(request.ticket, code));
            return;
        }
        let capacity = server.profile.slots.0 as usize * QUEUED_PER_SLOT;
        // Low priority may fill only half of the queue, so that it is shed before the others
        // have to wait longer.
        if request.priority == Priority::Low && self.queue.len() * 2 >= capacity {
            actions.push(AdmissionAction::Refuse(
                request.ticket,
                RefusalCode::Overloaded,
            ));
            return;
        }
        self.queue.insert(request);
        if self.queue.len() > capacity
            && let Some(last) = self.queue.pop_last()
        {
            actions.push(AdmissionAction::Refuse(
                last.ticket,
                RefusalCode::Overloaded,
            ));
        }
    }

    /// Returns whether the request would start too late to meet its deadline. Refusing it now
    /// leaves its caller time for a retry at another node.
    fn would_miss_deadline(&self, now: Moment, request: &AdmissionRequest) -> bool {
        let latency = self.expected_latency();
        let limit = self.limit().0.max(1);
        if self.in_flight().0 < limit {
            return request.deadline <= now + latency;
        }
        let rounds = self.queue.ahead_of(request) as u32 / limit + 1;
        request.deadline <= now + latency * (rounds + 1)
    }

    /// Returns the expected latency, or zero while the backend server is idle. An idle server
    /// always gets a request: refusing by an old measurement would exclude a recovered server for
    /// ever, since no new measurement would follow.
    fn expected_latency(&self) -> Duration {
        match self.running.is_empty() {
            true => Duration::ZERO,
            false => self.measured.median(),
        }
    }

    fn end(&mut self, now: Moment, ticket: Ticket, outcome: AttemptOutcome) {
        let in_flight = self.in_flight().0;
        // Tickets of an earlier incarnation of the backend server are no longer known.
        let Some(admitted) = self.running.remove(&ticket) else {
            return;
        };
        match outcome {
            AttemptOutcome::Answered(latency) => {
                self.measured.record(now, latency);
                self.estimated.record(now, latency);
            }
            AttemptOutcome::Abandoned => {
                self.record_abandoned(now, now.since(admitted.admitted_at))
            }
            _ => {}
        }
        if let Some(server) = &mut self.server {
            server.limiter.record(now, outcome, &admitted, in_flight);
        }
    }

    /// Records an estimated latency for an abandoned request. Hedges cancel only the slow
    /// attempts: without this, a straggler would show only its few fast responses and keep its
    /// share.
    fn record_abandoned(&mut self, now: Moment, elapsed: Duration) {
        if elapsed > self.estimated.median() {
            self.estimated
                .record(now, elapsed * ABANDONED_LATENCY_FACTOR);
        }
    }

    fn update_profile(&mut self, profile: ServerProfile) {
        match &mut self.server {
            Some(server) if server.profile.incarnation == profile.incarnation => {
                server.limiter.announce(&profile);
                server.profile = profile;
            }
            _ => {
                // Requests to an earlier incarnation ended with it, so their slots are free.
                self.running.clear();
                self.measured = recent_latencies();
                self.estimated = recent_latencies();
                let limiter = ConcurrencyLimiter::new(&profile);
                self.server = Some(Server { profile, limiter });
            }
        }
    }

    fn refuse_late(&mut self, now: Moment, actions: &mut Vec<AdmissionAction>) {
        if self.queue.is_empty() {
            return;
        }
        let latency = self.expected_latency();
        for ticket in self.queue.remove_late(now, latency) {
            let code = RefusalCode::DeadlineNotRun;
            actions.push(AdmissionAction::Refuse(ticket, code));
        }
    }

    fn admit_waiting(&mut self, now: Moment, actions: &mut Vec<AdmissionAction>) {
        while self.in_flight() < self.limit() {
            let Some(request) = self.queue.pop_first() else {
                return;
            };
            let admitted = AdmittedRequest {
                route: request.route,
                admitted_at: now,
                in_flight: self.in_flight().0 + 1,
            };
            self.running.insert(request.ticket, admitted);
            actions.push(AdmissionAction::Admit(request.ticket));
        }
    }
}

fn recent_latencies() -> LatencyWindow {
    LatencyWindow::new(MAX_LATENCIES, MAX_LATENCY_AGE)
}
