//! Waiting for one's turn at the backend server.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use quetzalrack_core::ids::RouteName;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::traffic::RefusalReason;
use quetzalrack_mesh::traffic::admission::Admission;
use quetzalrack_mesh::traffic::admission::AdmissionAction;
use quetzalrack_mesh::traffic::admission::AdmissionRequest;
use quetzalrack_mesh::traffic::admission::ResponseSample;
use quetzalrack_mesh::traffic::admission::Ticket;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::clock;
use crate::traffic::wire::WriteGate;

/// How often waiting requests are looked at while nothing else happens: some become hopeless.
const LOOK: Duration = Duration::from_millis(25);

type Verdict = Result<(), (RefusalReason, Duration)>;

/// Runs the admission machine for the requests of this node.
#[derive(Debug, Default)]
pub(super) struct Turns {
    admission: RefCell<Admission>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Verdict>>>,
    next: RefCell<u64>,
    arrived: Notify,
}

/// Is a slot at the backend server; dropped, it is free for the next.
#[derive(Debug)]
pub(super) struct Slot {
    turns: Rc<Turns>,
    ticket: Ticket,
    route: RouteName,
    /// How long the server took, and how long its answer is.
    answered: Option<(Duration, usize)>,
}

/// Takes a request back whose caller leaves while it waits.
struct Withdrawal<'a> {
    turns: &'a Rc<Turns>,
    ticket: Ticket,
    armed: bool,
}

impl WriteGate for Turns {
    fn pass(&self) -> Option<Duration> {
        self.admission
            .borrow_mut()
            .cold_limiter()
            .try_send(clock::now())
    }
}

impl Turns {
    /// Changes what admission knows of the server.
    pub(super) fn update<C>(&self, change: C)
    where
        C: FnOnce(&mut Admission),
    {
        change(&mut self.admission.borrow_mut());
    }

    /// Asks admission.
    pub(super) fn ask<A, T>(&self, question: A) -> T
    where
        A: FnOnce(&mut Admission) -> T,
    {
        question(&mut self.admission.borrow_mut())
    }

    /// Returns how many requests run and how many wait.
    pub(super) fn busy(&self) -> (usize, usize) {
        let admission = self.admission.borrow();
        (admission.running(), admission.waiting())
    }

    /// Returns how long requests take at the server.
    pub(super) fn pace(&self) -> Duration {
        self.admission.borrow().weighted_time()
    }

    /// Returns how long a request of a route keeps a slot.
    pub(super) fn work(&self, route: &RouteName) -> Duration {
        self.admission.borrow().service_time(route)
    }

    /// Returns how long the link is busy with large answers.
    pub(super) fn link_time(&self, now: Moment) -> Duration {
        self.admission.borrow_mut().link_time(now)
    }

    /// Waits for a slot.
    pub(super) async fn take(
        self: &Rc<Self>,
        job: &super::super::job::Job,
    ) -> Result<Slot, (RefusalReason, Duration)> {
        let ticket = self.next_ticket();
        let (sender, verdict) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        let mut withdrawal = Withdrawal {
            turns: self,
            ticket,
            armed: true,
        };
        let waiting = AdmissionRequest {
            ticket,
            route: job.route.clone(),
            rank: job.rank,
            objective: job.objective,
            deadline: job.deadline,
        };
        let actions = self.admission.borrow_mut().arrive(clock::now(), waiting);
        self.act(actions);
        self.arrived.notify_one();
        let verdict = verdict.await;
        withdrawal.armed = false;
        // The sender is kept until it has spoken.
        verdict.unwrap_or(Err((RefusalReason::NodeAway, Duration::ZERO)))?;
        Ok(Slot {
            turns: Rc::clone(self),
            ticket,
            route: job.route.clone(),
            answered: None,
        })
    }

    /// Looks at waiting requests from time to time.
    pub(super) async fn watch(self: Rc<Self>) {
        loop {
            if self.admission.borrow().waiting() == 0 {
                self.arrived.notified().await;
            }
            tokio::time::sleep(LOOK).await;
            self.pump();
        }
    }

    /// Starts and refuses what is due.
    pub(super) fn pump(&self) {
        let actions = self.admission.borrow_mut().dispatch(clock::now());
        self.act(actions);
    }

    fn act(&self, actions: Vec<AdmissionAction>) {
        for action in actions {
            let (ticket, verdict) = match action {
                AdmissionAction::Admit(ticket) => (ticket, Ok(())),
                AdmissionAction::Refuse(ticket, reason, back) => (ticket, Err((reason, back))),
            };
            let sender = self.waiting.borrow_mut().remove(&ticket);
            // A request that is gone has been taken back already.
            if let Some(sender) = sender {
                sender.send(verdict).ok();
            }
        }
    }

    fn end(&self, ticket: Ticket, answered: Option<ResponseSample<'_>>) {
        let actions = self
            .admission
            .borrow_mut()
            .end(clock::now(), ticket, answered);
        self.act(actions);
    }

    fn next_ticket(&self) -> Ticket {
        let mut next = self.next.borrow_mut();
        *next += 1;
        Ticket(*next)
    }
}

impl Slot {
    /// Notes after which time the server answered, and how many bytes.
    pub(super) fn answered(&mut self, time: Duration, bytes: usize) {
        self.answered = Some((time, bytes));
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let answered = self.answered.map(|(time, bytes)| ResponseSample {
            route: &self.route,
            service_time: time,
            bytes,
        });
        self.turns.end(self.ticket, answered);
    }
}

impl Drop for Withdrawal<'_> {
    fn drop(&mut self) {
        if self.armed {
            let known = self.turns.waiting.borrow_mut().remove(&self.ticket);
            match known {
                Some(_) => self.turns.admission.borrow_mut().cancel(self.ticket),
                // Its turn came just as it left, so its slot is free again.
                None => self.turns.end(self.ticket, None),
            }
        }
    }
}
