//! One backend server and its neighbour's admission, driven millisecond by millisecond.

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

/// The slots of the backend server.
pub const SLOTS: u32 = 18;
/// How many it bears while cold.
pub const COLD: u32 = 2;
/// How long it takes to warm up.
pub const WARM_UP: Duration = Duration::from_millis(500);
/// How long an answer takes.
pub const ANSWER: Duration = Duration::from_millis(5);

/// One backend server and its neighbour, driven millisecond by millisecond.
pub struct Bench {
    pub admission: Admission,
    pub now: Moment,
    pub next: u64,
    pub running: VecDeque<(Ticket, Moment, AttemptOutcome)>,
    pub admitted: Vec<Ticket>,
    pub refused: Vec<(Ticket, RefusalCode)>,
    /// How many at once are quick; more are ten times slower, three times as many are shed.
    pub bears: u32,
    pub slowness: u32,
    pub most: u32,
}

impl Bench {
    pub fn new(state: ServerState) -> Self {
        let mut bench = Self {
            admission: Admission::default(),
            now: Moment(1_000_000_000),
            next: 0,
            running: VecDeque::new(),
            admitted: Vec::new(),
            refused: Vec::new(),
            bears: u32::MAX,
            slowness: 1,
            most: 0,
        };
        bench.announce(1, state);
        bench
    }

    pub fn announce(&mut self, life: u64, state: ServerState) {
        self.step(AdmissionEvent::ServerAnnounced(ServerProfile {
            incarnation: Incarnation(life),
            state,
            slots: SlotCount(SLOTS),
            cold_slots: SlotCount(COLD),
            warm_up: WARM_UP,
        }));
    }

    pub fn step(&mut self, event: AdmissionEvent) {
        for action in self.admission.step(self.now, event) {
            match action {
                AdmissionAction::Admit(ticket) => self.begin(ticket),
                AdmissionAction::Refuse(ticket, code) => self.refused.push((ticket, code)),
            }
        }
    }

    pub fn begin(&mut self, ticket: Ticket) {
        self.admitted.push(ticket);
        let busy = self.running.len() as u32 + 1;
        let (span, end) = match busy {
            _ if busy > self.bears.saturating_mul(3) => {
                (Duration::from_micros(200), AttemptOutcome::Shed)
            }
            _ if busy > self.bears => (ANSWER * 10, AttemptOutcome::Answered(ANSWER * 10)),
            _ => {
                let span = ANSWER * self.slowness;
                (span, AttemptOutcome::Answered(span))
            }
        };
        self.running.push_back((ticket, self.now + span, end));
        self.most = self.most.max(busy);
    }

    pub fn arrive(&mut self, priority: Priority, patience: Duration) -> Ticket {
        self.next += 1;
        let ticket = Ticket(self.next);
        let deadline = self.now + patience;
        self.step(AdmissionEvent::Arrived(AdmissionRequest {
            ticket,
            route: "view".parse().unwrap(),
            priority,
            deadline,
        }));
        ticket
    }

    /// Lets a span pass with `each` arrivals of every priority a millisecond.
    pub fn pass(&mut self, span: Duration, each: u32) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(1);
            let (done, left) = self.running.drain(..).partition(|run| run.1 <= self.now);
            self.running = left;
            let done: VecDeque<_> = done;
            for (ticket, _, end) in done {
                self.step(AdmissionEvent::Ended {
                    ticket,
                    outcome: end,
                });
            }
            for _ in 0..each {
                self.arrive(Priority::High, Duration::from_millis(200));
            }
            self.step(AdmissionEvent::Tick);
        }
    }

    /// Lets a span pass with `count` requests at the backend server or waiting at any time.
    pub fn keep_busy(&mut self, span: Duration, count: usize) {
        let end = self.now + span;
        while self.now < end {
            while self.running.len() + self.admission.waiting() < count {
                self.arrive(Priority::High, Duration::from_secs(2));
            }
            self.pass(Duration::from_millis(1), 0);
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
