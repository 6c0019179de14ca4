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
use crate::traffic::wire::WriteLimiter;

/// How often waiting requests are looked at while nothing else happens: some become hopeless.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(25);

type AdmissionResult = Result<(), (RefusalReason, Duration)>;

/// Runs the admission machine for the requests of this node.
#[derive(Debug, Default)]
pub(super) struct AdmissionQueue {
    admission: RefCell<Admission>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<AdmissionResult>>>,
    last_ticket: RefCell<u64>,
    arrived: Notify,
}

/// Is a slot at the backend server; dropped, it is free for the next.
#[derive(Debug)]
pub(super) struct Slot {
    queue: Rc<AdmissionQueue>,
    ticket: Ticket,
    route: RouteName,
    /// How long the server took, and how long its answer is.
    response: Option<(Duration, usize)>,
}

/// Takes a request back whose caller leaves while it waits.
struct CancelGuard<'a> {
    queue: &'a Rc<AdmissionQueue>,
    ticket: Ticket,
    armed: bool,
}

impl WriteLimiter for AdmissionQueue {
    fn try_write(&self) -> Option<Duration> {
        self.admission
            .borrow_mut()
            .cold_limiter()
            .try_send(clock::now())
    }
}

impl AdmissionQueue {
    /// Changes what admission knows of the server.
    pub(super) fn update<C>(&self, change: C)
    where
        C: FnOnce(&mut Admission),
    {
        change(&mut self.admission.borrow_mut());
    }

    /// Asks admission.
    pub(super) fn query<Q, T>(&self, query: Q) -> T
    where
        Q: FnOnce(&mut Admission) -> T,
    {
        query(&mut self.admission.borrow_mut())
    }

    /// Returns how many requests run and how many wait.
    pub(super) fn request_counts(&self) -> (usize, usize) {
        let admission = self.admission.borrow();
        (admission.running(), admission.waiting())
    }

    /// Returns how long requests take at the server.
    pub(super) fn weighted_time(&self) -> Duration {
        self.admission.borrow().weighted_time()
    }

    /// Returns how long a request of a route keeps a slot.
    pub(super) fn service_time(&self, route: &RouteName) -> Duration {
        self.admission.borrow().service_time(route)
    }

    /// Returns how long the link is busy with large answers.
    pub(super) fn link_time(&self, now: Moment) -> Duration {
        self.admission.borrow_mut().link_time(now)
    }

    /// Waits for a slot.
    pub(super) async fn acquire(
        self: &Rc<Self>,
        job: &super::super::job::Job,
    ) -> Result<Slot, (RefusalReason, Duration)> {
        let ticket = self.next_ticket();
        let (sender, result) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        let mut guard = CancelGuard {
            queue: self,
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
        self.apply(actions);
        self.arrived.notify_one();
        let result = result.await;
        guard.armed = false;
        // The sender is kept until it has spoken.
        result.unwrap_or(Err((RefusalReason::NodeAway, Duration::ZERO)))?;
        Ok(Slot {
            queue: Rc::clone(self),
            ticket,
            route: job.route.clone(),
            response: None,
        })
    }

    /// Looks at waiting requests from time to time.
    pub(super) async fn dispatch_periodically(self: Rc<Self>) {
        loop {
            if self.admission.borrow().waiting() == 0 {
                self.arrived.notified().await;
            }
            tokio::time::sleep(DISPATCH_INTERVAL).await;
            self.dispatch_due();
        }
    }

    /// Starts and refuses what is due.
    pub(super) fn dispatch_due(&self) {
        let actions = self.admission.borrow_mut().dispatch(clock::now());
        self.apply(actions);
    }

    fn apply(&self, actions: Vec<AdmissionAction>) {
        for action in actions {
            let (ticket, result) = match action {
                AdmissionAction::Admit(ticket) => (ticket, Ok(())),
                AdmissionAction::Refuse(ticket, reason, retry_after) => {
                    (ticket, Err((reason, retry_after)))
                }
            };
            let sender = self.waiting.borrow_mut().remove(&ticket);
            // A request that is gone has been taken back already.
            if let Some(sender) = sender {
                sender.send(result).ok();
            }
        }
    }

    fn end(&self, ticket: Ticket, response: Option<ResponseSample<'_>>) {
        let actions = self
            .admission
            .borrow_mut()
            .end(clock::now(), ticket, response);
        self.apply(actions);
    }

    fn next_ticket(&self) -> Ticket {
        let mut last = self.last_ticket.borrow_mut();
        *last += 1;
        Ticket(*last)
    }
}

impl Slot {
    /// Notes after which time the server answered, and how many bytes.
    pub(super) fn set_response(&mut self, time: Duration, bytes: usize) {
        self.response = Some((time, bytes));
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let response = self.response.map(|(time, bytes)| ResponseSample {
            route: &self.route,
            service_time: time,
            bytes,
        });
        self.queue.end(self.ticket, response);
    }
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            let waiting = self.queue.waiting.borrow_mut().remove(&self.ticket);
            match waiting {
                Some(_) => self.queue.admission.borrow_mut().cancel(self.ticket),
                // Its turn came just as it left, so its slot is free again.
                None => self.queue.end(self.ticket, None),
            }
        }
    }
}
