//! A simulated backend server and the admission of its node, advanced by the millisecond.

#![allow(dead_code, clippy::unwrap_used)]

use std::collections::VecDeque;
use std::time::Duration;

use quetzalrack_core::cluster::ServerState;
use quetzalrack_core::document::spec::Priority;
use quetzalrack_core::ids::Incarnation;
use quetzalrack_core::ids::SlotCount;
use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::admission::Admission;
use quetzalrack_core::traffic::admission::AdmissionAction;
use quetzalrack_core::traffic::admission::AdmissionEvent;
use quetzalrack_core::traffic::admission::AdmissionRequest;
use quetzalrack_core::traffic::admission::AttemptOutcome;
use quetzalrack_core::traffic::admission::ServerProfile;
use quetzalrack_core::traffic::admission::Ticket;
use quetzalrack_core::traffic::refusal::RefusalCode;

/// The slots of the backend server while warm.
pub const SLOTS: u32 = 18;
/// The slots of the backend server while cold.
pub const COLD_SLOTS: u32 = 2;
/// How long it takes to warm up.
pub const WARM_UP: Duration = Duration::from_millis(500);
/// How long the backend server works on a request.
pub const SERVICE_TIME: Duration = Duration::from_millis(5);

/// A simulated backend server and the admission of its node, advanced by the millisecond.
pub struct Bench {
    pub admission: Admission,
    pub now: Moment,
    pub last_ticket: u64,
    pub running: VecDeque<(Ticket, Moment, AttemptOutcome)>,
    pub admitted: Vec<Ticket>,
    pub refused: Vec<(Ticket, RefusalCode)>,
    /// The concurrent requests served at normal speed. Requests above it take ten times as long,
    /// and those above three times it are shed.
    pub capacity: u32,
    pub slowdown: u32,
    pub max_running: u32,
}

impl Bench {
    pub fn new(state: ServerState) -> Self {
        let mut bench = Self {
            admission: Admission::default(),
            now: Moment(1_000_000_000),
            last_ticket: 0,
            running: VecDeque::new(),
            admitted: Vec::new(),
            refused: Vec::new(),
            capacity: u32::MAX,
            slowdown: 1,
            max_running: 0,
        };
        bench.announce(1, state);
        bench
    }

    pub fn announce(&mut self, incarnation: u64, state: ServerState) {
        self.step(AdmissionEvent::ServerAnnounced(ServerProfile {
            incarnation: Incarnation(incarnation),
            state,
            slots: SlotCount(SLOTS),
            cold_slots: SlotCount(COLD_SLOTS),
            warm_up: WARM_UP,
        }));
    }

    pub fn step(&mut self, event: AdmissionEvent) {
        for action in self.admission.step(self.now, event) {
            match action {
                AdmissionAction::Admit(ticket) => self.start(ticket),
                AdmissionAction::Refuse(ticket, code) => self.refused.push((ticket, code)),
            }
        }
    }

    pub fn start(&mut self, ticket: Ticket) {
        self.admitted.push(ticket);
        let busy = self.running.len() as u32 + 1;
        let (duration, outcome) = match busy {
            _ if busy > self.capacity.saturating_mul(3) => {
                (Duration::from_micros(200), AttemptOutcome::Shed)
            }
            _ if busy > self.capacity => (
                SERVICE_TIME * 10,
                AttemptOutcome::Answered(SERVICE_TIME * 10),
            ),
            _ => {
                let duration = SERVICE_TIME * self.slowdown;
                (duration, AttemptOutcome::Answered(duration))
            }
        };
        self.running
            .push_back((ticket, self.now + duration, outcome));
        self.max_running = self.max_running.max(busy);
    }

    pub fn arrive(&mut self, priority: Priority, timeout: Duration) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let deadline = self.now + timeout;
        self.step(AdmissionEvent::Arrived(AdmissionRequest {
            ticket,
            route: "view".parse().unwrap(),
            priority,
            deadline,
        }));
        ticket
    }

    /// Advances the time by `span`, with `arrivals` requests of high priority in each millisecond.
    pub fn advance(&mut self, span: Duration, arrivals: u32) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(1);
            let (done, left) = self.running.drain(..).partition(|run| run.1 <= self.now);
            self.running = left;
            let done: VecDeque<_> = done;
            for (ticket, _, outcome) in done {
                self.step(AdmissionEvent::Ended { ticket, outcome });
            }
            for _ in 0..arrivals {
                self.arrive(Priority::High, Duration::from_millis(200));
            }
            self.step(AdmissionEvent::Tick);
        }
    }

    /// Advances the time by `span` and keeps `count` requests running or waiting.
    pub fn keep_busy(&mut self, span: Duration, count: usize) {
        let end = self.now + span;
        while self.now < end {
            while self.running.len() + self.admission.waiting() < count {
                self.arrive(Priority::High, Duration::from_secs(2));
            }
            self.advance(Duration::from_millis(1), 0);
        }
    }

    pub fn limit(&self) -> u32 {
        self.admission.limit().0
    }

    pub fn code(&self, ticket: Ticket) -> Option<RefusalCode> {
        let refused = self.refused.iter().find(|refused| refused.0 == ticket);
        refused.map(|refused| refused.1)
    }
}
