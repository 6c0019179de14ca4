//! The state machine of admission.

use std::collections::BTreeSet;
use std::time::Duration;

use quetzalrack_core::ids::RouteName;
use quetzalrack_core::time::Moment;

use super::ColdGate;
use super::Job;
use super::Ticket;
use super::line::Line;
use super::pace::Pace;
use crate::traffic::NotRun;

/// The share of a request's usual time that must be left at its turn. Work is spread widely around
/// its mean, so many answers come in less.
const NEEDED: f64 = 0.7;
/// The share that must be left until its objective to count as in time. With one or less, a burst
/// would hold every request to the last moment and answer most of them just too late.
const NEEDED_IN_TIME: f64 = 1.4;
/// The shortest time after which a refused caller is asked to come back.
const SHORTEST_RETURN: Duration = Duration::from_millis(150);
/// The longest.
const LONGEST_RETURN: Duration = Duration::from_millis(1_500);

/// Is what admission asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Send the request.
    Start(Ticket),
    /// Refuse it; there may be room after this time.
    Refuse(Ticket, NotRun, Duration),
}

/// Admits as many requests as the server has slots, the most useful first.
///
/// More than its slots would wait in the server's own queue, where nothing can be put before them
/// or taken back, and where a later refusal counts as an arrival.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    slots: usize,
    running: BTreeSet<Ticket>,
    line: Line,
    pace: Pace,
    cold: ColdGate,
}

impl Admission {
    /// Sets how many requests the server works on at once; none while it may get no work.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Returns the gate for a cold server.
    pub fn cold(&mut self) -> &mut ColdGate {
        &mut self.cold
    }

    /// Returns how many requests run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.line.len()
    }

    /// Takes a request; it starts, waits, or is refused.
    pub fn arrive(&mut self, now: Moment, job: Job) -> Vec<AdmissionAction> {
        let wait = self.expected_wait(now, &job);
        let needed = self.needed(&job.route);
        if now + wait + needed > job.deadline {
            let back = self.return_time(wait);
            return vec![AdmissionAction::Refuse(job.ticket, NotRun::Full, back)];
        }
        let late = now + wait + self.pace.of(&job.route).mul_f64(NEEDED_IN_TIME) > job.objective;
        self.line.insert(job, late);
        self.pump(now)
    }

    /// Takes back a request that nobody waits for.
    pub fn withdraw(&mut self, ticket: Ticket) {
        self.line.remove(ticket);
    }

    /// Learns that a request has ended, and after which time if it was answered.
    pub fn end(
        &mut self,
        now: Moment,
        ticket: Ticket,
        answered: Option<(&RouteName, Duration)>,
    ) -> Vec<AdmissionAction> {
        self.running.remove(&ticket);
        if let Some((route, time)) = answered {
            self.pace.learn(route, time);
        }
        self.pump(now)
    }

    /// Starts what can start and refuses what has become hopeless.
    pub fn pump(&mut self, now: Moment) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        self.demote_late(now);
        self.drop_hopeless(now, &mut actions);
        while self.running.len() < self.slots && self.cold.wait(now).is_none() {
            let Some(job) = self.line.pop_first() else {
                break;
            };
            self.cold.count(now);
            self.running.insert(job.ticket);
            actions.push(AdmissionAction::Start(job.ticket));
        }
        actions
    }

    /// Returns when `pump` has something to do although nothing happens.
    pub fn next_pump(&mut self, now: Moment) -> Option<Duration> {
        if self.line.len() == 0 {
            return None;
        }
        self.cold.wait(now)
    }

    fn expected_wait(&mut self, now: Moment, job: &Job) -> Duration {
        if self.slots == 0 {
            return Duration::ZERO;
        }
        let ahead = self.line.ahead(job.rank, job.objective);
        let cold = self.cold.wait(now).unwrap_or_default();
        if self.running.len() < self.slots {
            return cold;
        }
        let turns = (ahead + 1) as f64 / self.slots as f64;
        cold + self.pace.mean().mul_f64(turns)
    }

    fn needed(&self, route: &RouteName) -> Duration {
        self.pace.of(route).mul_f64(NEEDED)
    }

    fn return_time(&self, wait: Duration) -> Duration {
        wait.clamp(SHORTEST_RETURN, LONGEST_RETURN)
    }

    /// Puts behind the others what can't meet its objective any more. By deadline alone, a burst
    /// would make every later answer late too.
    fn demote_late(&mut self, now: Moment) {
        let pace = &self.pace;
        let late = self.line.take_if(|job, late| {
            !late && now + pace.of(&job.route).mul_f64(NEEDED_IN_TIME) > job.objective
        });
        for job in late {
            self.line.insert(job, true);
        }
    }

    fn drop_hopeless(&mut self, now: Moment, actions: &mut Vec<AdmissionAction>) {
        let pace = &self.pace;
        let hopeless = self
            .line
            .take_if(|job, _| now + pace.of(&job.route).mul_f64(NEEDED) > job.deadline);
        for job in hopeless {
            let back = self.return_time(SHORTEST_RETURN);
            actions.push(AdmissionAction::Refuse(job.ticket, NotRun::Expired, back));
        }
    }
}
