//! The state machine of admission.

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

/// How many requests may wait for each slot; more would only wait longer than their retry
/// elsewhere takes.
const WAITING_PER_SLOT: usize = 2;

/// How many latencies are kept, and how long: a change must show within a second.
const KEPT: usize = 64;
/// See [`KEPT`].
const RECENT: Duration = Duration::from_secs(1);
/// How many times the time until it was given up a request would have taken, as a guess: at least
/// once, and a straggler's far more.
const GIVEN_UP: u32 = 2;

/// Decides which requests go to the backend server beside the node, and when.
///
/// A slot is held from the moment a request is admitted until its end is known for certain: also
/// when its caller has gone or its deadline has passed, because a frozen backend server that thaws
/// goes on with what it had.
#[derive(Clone, Debug)]
pub struct Admission {
    server: Option<Server>,
    line: WaitQueue,
    running: BTreeMap<Ticket, AdmittedRequest>,
    /// The latencies of answers.
    answered: LatencyWindow,
    /// The same, with guesses for requests that were given up.
    judged: LatencyWindow,
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
            line: WaitQueue::default(),
            running: BTreeMap::new(),
            answered: recent_latencies(),
            judged: recent_latencies(),
        }
    }
}

impl Admission {
    /// Takes one event and returns what follows from it.
    pub fn step(&mut self, now: Moment, event: AdmissionEvent) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        match event {
            AdmissionEvent::Arrived(work) => self.arrive(now, work, &mut actions),
            AdmissionEvent::Cancelled(ticket) => self.line.remove(ticket),
            AdmissionEvent::Ended { ticket, outcome } => self.end(now, ticket, outcome),
            AdmissionEvent::ServerAnnounced(profile) => self.announce(profile),
            AdmissionEvent::ServerRestored => {
                if let Some(server) = &mut self.server {
                    server.limiter.start_slowly();
                }
            }
            AdmissionEvent::Tick => {}
        }
        self.drop_hopeless(now, &mut actions);
        self.admit_waiting(now, &mut actions);
        actions
    }

    /// Returns the current limit.
    pub fn limit(&self) -> SlotCount {
        let server = self.server.as_ref();
        server.map_or(SlotCount(0), |server| server.limiter.limit())
    }

    /// Returns how many slots are held.
    pub fn in_flight(&self) -> SlotCount {
        SlotCount(self.running.len() as u32)
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.line.len()
    }

    /// Returns the backend server's condition as judged from its answers.
    pub fn state(&self) -> ServerState {
        let server = self.server.as_ref();
        server.map_or(ServerState::Cold, |server| server.limiter.state())
    }

    /// Returns the recent median latency. Requests that have been running for longer count too:
    /// a backend server that stopped answering shows no latency in its answers.
    pub fn latency(&self, now: Moment) -> Duration {
        let judged = self.judged.median();
        let mut ages: Vec<Duration> = self
            .running
            .values()
            .map(|begun| now.since(begun.at))
            .collect();
        ages.sort_unstable();
        let age = ages.get(ages.len() / 2).copied().unwrap_or_default();
        judged.max(age)
    }

    fn arrive(&mut self, now: Moment, work: AdmissionRequest, actions: &mut Vec<AdmissionAction>) {
        let Some(server) = &self.server else {
            actions.push(AdmissionAction::Refuse(work.ticket, RefusalCode::NotReady));
            return;
        };
        if self.waits_too_long(now, &work) {
            let code = RefusalCode::DeadlineNotRun;
            actions.push(AdmissionAction::Refuse(work.ticket, code));
            return;
        }
        let room = server.profile.slots.0 as usize * WAITING_PER_SLOT;
        // Low priority may fill only half of the line, so that it is shed before the wait of
        // the others grows.
        if work.priority == Priority::Low && self.line.len() * 2 >= room {
            actions.push(AdmissionAction::Refuse(
                work.ticket,
                RefusalCode::Overloaded,
            ));
            return;
        }
        self.line.insert(work);
        if self.line.len() > room
            && let Some(last) = self.line.pop_last()
        {
            actions.push(AdmissionAction::Refuse(
                last.ticket,
                RefusalCode::Overloaded,
            ));
        }
    }

    /// Tells whether the work's turn would come too late; refusing it now lets its caller go
    /// elsewhere while there is time.
    fn waits_too_long(&self, now: Moment, work: &AdmissionRequest) -> bool {
        let answer = self.answer_time();
        let limit = self.limit().0.max(1);
        if self.in_flight().0 < limit {
            return work.deadline <= now + answer;
        }
        let turns = self.line.ahead_of(work) as u32 / limit + 1;
        work.deadline <= now + answer * (turns + 1)
    }

    /// Returns the time that an answer takes, as far as known. An idle backend server is always
    /// worth a try: refusing by an old measure would keep a recovered one shut out for ever, since
    /// no new measure would come.
    fn answer_time(&self) -> Duration {
        match self.running.is_empty() {
            true => Duration::ZERO,
            false => self.answered.median(),
        }
    }

    fn end(&mut self, now: Moment, ticket: Ticket, end: AttemptOutcome) {
        let busy = self.in_flight().0;
        // A ticket of the backend server's earlier life is not known any more.
        let Some(begun) = self.running.remove(&ticket) else {
            return;
        };
        match end {
            AttemptOutcome::Answered(latency) => {
                self.answered.record(now, latency);
                self.judged.record(now, latency);
            }
            AttemptOutcome::Abandoned => self.record_given_up(now, now.since(begun.at)),
            _ => {}
        }
        if let Some(server) = &mut self.server {
            server.limiter.learn(now, end, &begun, busy);
        }
    }

    /// Counts the time of a request that was given up. Hedges cancel just the slow answers: without
    /// this, a straggler would show only its few quick ones and keep its share.
    fn record_given_up(&mut self, now: Moment, elapsed: Duration) {
        if elapsed > self.judged.median() {
            self.judged.record(now, elapsed * GIVEN_UP);
        }
    }

    fn announce(&mut self, profile: ServerProfile) {
        match &mut self.server {
            Some(server) if server.profile.incarnation == profile.incarnation => {
                server.limiter.announce(&profile);
                server.profile = profile;
            }
            _ => {
                // What ran in an earlier life ended with it, so its slots are free.
                self.running.clear();
                self.answered = recent_latencies();
                self.judged = recent_latencies();
                let limiter = ConcurrencyLimiter::new(&profile);
                self.server = Some(Server { profile, limiter });
            }
        }
    }

    fn drop_hopeless(&mut self, now: Moment, actions: &mut Vec<AdmissionAction>) {
        if self.line.is_empty() {
            return;
        }
        let answer = self.answer_time();
        for ticket in self.line.remove_hopeless(now, answer) {
            let code = RefusalCode::DeadlineNotRun;
            actions.push(AdmissionAction::Refuse(ticket, code));
        }
    }

    fn admit_waiting(&mut self, now: Moment, actions: &mut Vec<AdmissionAction>) {
        while self.in_flight() < self.limit() {
            let Some(work) = self.line.pop_first() else {
                return;
            };
            let begun = AdmittedRequest {
                route: work.route,
                at: now,
                busy: self.in_flight().0 + 1,
            };
            self.running.insert(work.ticket, begun);
            actions.push(AdmissionAction::Admit(work.ticket));
        }
    }
}

fn recent_latencies() -> LatencyWindow {
    LatencyWindow::new(KEPT, RECENT)
}
