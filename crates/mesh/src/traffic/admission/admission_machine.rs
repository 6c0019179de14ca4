//! The state machine of admission.

use std::collections::BTreeSet;
use std::time::Duration;

use quetzalrack_core::ids::RouteName;
use quetzalrack_core::time::Moment;

use super::Answered;
use super::ColdGate;
use super::Job;
use super::Ticket;
use super::forecast::NEEDED;
use super::forecast::NEEDED_IN_TIME;
use super::line::Class;
use super::line::Line;
use super::pace::Pace;
use super::start_rates::StartRates;
use crate::model::LinkRate;
use crate::traffic::NotRun;
use crate::traffic::link::AnswerSizes;
use crate::traffic::link::LinkBacklog;

/// How long the link may be busy when a request with a large answer is started, beside the time that
/// its work takes: enough for the link never to run dry, short enough for the rest to wait here, where
/// they can be refused.
const LINK_AHEAD: Duration = Duration::from_millis(60);
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

/// Admits as many requests as the server has slots and the link carries answers, the most useful
/// first.
///
/// More than its slots would wait in the server's own queue, where nothing can be put before them
/// or taken back, and where a later refusal counts as an arrival.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    pub(super) slots: usize,
    pub(super) running: BTreeSet<Ticket>,
    pub(super) short: Line,
    pub(super) large: Line,
    pub(super) starts: StartRates,
    pub(super) pace: Pace,
    pub(super) sizes: AnswerSizes,
    pub(super) backlog: LinkBacklog,
    pub(super) cold: ColdGate,
}

impl Admission {
    /// Sets how many requests the server works on at once; none while it may get no work.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Sets what the host's link carries.
    pub fn set_link(&mut self, rate: Option<LinkRate>) {
        self.backlog.set_rate(rate);
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
        self.short.len() + self.large.len()
    }

    /// Returns how long the requests that make up most of the server's work take; zero before the
    /// first.
    pub fn pace(&self) -> Duration {
        self.pace.of_most_work()
    }

    /// Returns how long a request of a route keeps a slot.
    pub fn work(&self, route: &RouteName) -> Duration {
        self.pace.steady(route)
    }

    /// Returns how long the link is busy with the large answers of the requests that are here.
    pub fn link_time(&mut self, now: Moment) -> Duration {
        let waiting: f64 = self
            .large
            .jobs()
            .filter_map(|job| self.sizes.large(&job.route))
            .sum();
        self.backlog.time(now) + self.backlog.time_for(waiting)
    }

    /// Takes a request; it starts, waits, or is refused.
    pub fn arrive(&mut self, now: Moment, job: Job) -> Vec<AdmissionAction> {
        let wait = self.expected_wait(now, &job);
        let soonest = now + self.finish(now, &job, wait, NEEDED);
        let late = self.is_late(now, &job, wait);
        if soonest > job.deadline || (late && self.is_crowded(now, &job)) {
            let back = self.return_time(wait);
            return vec![AdmissionAction::Refuse(job.ticket, NotRun::Full, back)];
        }
        self.line(&job.route).insert(job, late);
        self.pump(now)
    }

    /// Takes back a request that nobody waits for.
    pub fn withdraw(&mut self, ticket: Ticket) {
        self.short.remove(ticket);
        self.large.remove(ticket);
    }

    /// Learns that a request has ended, and how if it was answered.
    pub fn end(
        &mut self,
        now: Moment,
        ticket: Ticket,
        answered: Option<Answered<'_>>,
    ) -> Vec<AdmissionAction> {
        self.running.remove(&ticket);
        if let Some(answered) = answered {
            self.pace.learn(answered.route, answered.time);
            self.sizes.learn(answered.route, answered.bytes);
        }
        let bytes = answered.map_or(0, |answered| answered.bytes);
        self.backlog.end(now, ticket, bytes as f64);
        self.pump(now)
    }

    /// Starts what can start and refuses what has become hopeless.
    pub fn pump(&mut self, now: Moment) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        self.demote_late(now);
        self.drop_hopeless(now, &mut actions);
        while self.running.len() < self.slots && self.cold.wait(now).is_none() {
            let Some((job, class)) = self.pop_first(now) else {
                break;
            };
            self.starts.count(now, class);
            if let Some(bytes) = self.sizes.large(&job.route) {
                self.backlog.begin(job.ticket, bytes);
            }
            self.cold.count(now);
            self.running.insert(job.ticket);
            actions.push(AdmissionAction::Start(job.ticket));
        }
        actions
    }

    /// Returns when `pump` has something to do although nothing happens.
    pub fn next_pump(&mut self, now: Moment) -> Option<Duration> {
        if self.waiting() == 0 {
            return None;
        }
        self.cold.wait(now)
    }

    /// Takes the most useful request for which there is room at the server and on the link.
    fn pop_first(&mut self, now: Moment) -> Option<(Job, Class)> {
        let large = self.large.first().map(|(place, job)| (place, &job.route));
        let open =
            large.filter(|(_, route)| self.backlog.time(now) <= self.pace.of(route) + LINK_AHEAD);
        let large = open.map(|(place, _)| place);
        let short = self.short.first().map(|(place, _)| place);
        match (short, large) {
            (Some(short), Some(large)) if large < short => self.large.pop_first(),
            (Some(_), _) => self.short.pop_first(),
            (None, Some(_)) => self.large.pop_first(),
            (None, None) => None,
        }
    }

    fn line(&mut self, route: &RouteName) -> &mut Line {
        match self.sizes.large(route) {
            Some(_) => &mut self.large,
            None => &mut self.short,
        }
    }

    fn return_time(&self, wait: Duration) -> Duration {
        wait.clamp(SHORTEST_RETURN, LONGEST_RETURN)
    }

    /// Puts behind the others what can't meet its objective any more. By deadline alone, a burst
    /// would make every later answer late too.
    fn demote_late(&mut self, now: Moment) {
        for large in [false, true] {
            let line = if large { &self.large } else { &self.short };
            let late = line.tickets_of(|job, late| {
                !late && now + self.needed(job, NEEDED_IN_TIME) > job.objective
            });
            let line = if large {
                &mut self.large
            } else {
                &mut self.short
            };
            for ticket in late {
                line.demote(ticket);
            }
        }
    }

    fn drop_hopeless(&mut self, now: Moment, actions: &mut Vec<AdmissionAction>) {
        let hopeless = |job: &Job, _| now + self.needed(job, NEEDED) > job.deadline;
        let short = self.short.tickets_of(hopeless);
        let large = self.large.tickets_of(hopeless);
        for ticket in short.into_iter().chain(large) {
            self.refuse(ticket, NotRun::Expired, actions);
        }
        // Without this a late request would be held until its time is over, though it was clear long
        // before that others take all turns; its caller could have come back meanwhile.
        for ticket in self.waiting_in_vain(now) {
            self.refuse(ticket, NotRun::Full, actions);
        }
    }

    fn refuse(&mut self, ticket: Ticket, reason: NotRun, actions: &mut Vec<AdmissionAction>) {
        self.withdraw(ticket);
        actions.push(AdmissionAction::Refuse(ticket, reason, SHORTEST_RETURN));
    }
}
