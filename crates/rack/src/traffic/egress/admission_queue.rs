//! The queue of requests that wait for a slot at the backend server.

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

/// How often waiting requests are checked while nothing else happens: some can no longer meet their
/// deadline.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(25);

type AdmissionResult = Result<(), (RefusalReason, Duration)>;

/// Runs the admission state machine for the requests of this node.
#[derive(Debug, Default)]
pub(super) struct AdmissionQueue {
    admission: RefCell<Admission>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<AdmissionResult>>>,
    last_ticket: RefCell<u64>,
    arrived: Notify,
}

/// A slot at the backend server; dropping it frees the slot.
#[derive(Debug)]
pub(super) struct Slot {
    queue: Rc<AdmissionQueue>,
    ticket: Ticket,
    route: RouteName,
    /// The service time and the size of the response in bytes.
    response: Option<(Duration, usize)>,
}

/// Cancels a waiting request when its caller drops it.
struct CancelGuard<'a> {
    queue: &'a Rc<AdmissionQueue>,
    ticket: Ticket,
    armed: bool,
}

impl WriteLimiter for AdmissionQueue {
    fn try_write(&self) -> Option<Duration> {
        self.admission.borrow_mut().try_send(clock::now())
    }
}

impl AdmissionQueue {
    /// Updates what the admission knows of the server.
    pub(super) fn update<C>(&self, change: C)
    where
        C: FnOnce(&mut Admission),
    {
        change(&mut self.admission.borrow_mut());
    }

    /// Queries the admission.
    pub(super) fn query<Q, T>(&self, query: Q) -> T
    where
        Q: FnOnce(&mut Admission) -> T,
    {
        query(&mut self.admission.borrow_mut())
    }

    /// Returns how many requests are running and how many are waiting.
    pub(super) fn request_counts(&self) -> (usize, usize) {
        let admission = self.admission.borrow();
        (admission.running(), admission.waiting())
    }

    /// Returns the mean service time of requests at the server.
    pub(super) fn weighted_time(&self) -> Duration {
        self.admission.borrow().weighted_time()
    }

    /// Returns how long a request of a route occupies a slot.
    pub(super) fn service_time(&self, route: &RouteName) -> Duration {
        self.admission.borrow().service_time(route)
    }

    /// Returns how long the link is busy with large responses.
    pub(super) fn link_time(&self, now: Moment) -> Duration {
        self.admission.borrow_mut().link_time(now)
    }

    /// Waits for a slot, or for a refusal.
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
        let request = AdmissionRequest {
            ticket,
            route: job.route.clone(),
            rank: job.rank,
            objective: job.objective,
            deadline: job.deadline,
        };
        let actions = self.admission.borrow_mut().arrive(clock::now(), request);
        self.apply(actions);
        self.arrived.notify_one();
        let result = result.await;
        guard.armed = false;
        // The sender is dropped only after it has sent the result.
        result.unwrap_or(Err((RefusalReason::NodeAway, Duration::ZERO)))?;
        Ok(Slot {
            queue: Rc::clone(self),
            ticket,
            route: job.route.clone(),
            response: None,
        })
    }

    /// Dispatches waiting requests periodically.
    pub(super) async fn dispatch_periodically(self: Rc<Self>) {
        loop {
            if self.admission.borrow().waiting() == 0 {
                self.arrived.notified().await;
            }
            let next = self.admission.borrow_mut().next_dispatch(clock::now());
            let due = next.map_or(DISPATCH_INTERVAL, |next| next.min(DISPATCH_INTERVAL));
            tokio::time::sleep(due).await;
            self.dispatch_due();
        }
    }

    /// Admits and refuses the requests that are due.
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
            // A request without a sender has been cancelled already.
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
    /// Records the service time and the size of the response.
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
            let sender = self.queue.waiting.borrow_mut().remove(&self.ticket);
            match sender {
                Some(_) => self.queue.admission.borrow_mut().cancel(self.ticket),
                // The request was admitted just before it was dropped, so its slot is freed.
                None => self.queue.end(self.ticket, None),
            }
        }
    }
}
