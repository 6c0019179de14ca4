//! Admission of requests to the backend server's slots.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use quetzalrack_core::boundary::Clock;
use quetzalrack_core::cluster::ServerState;
use quetzalrack_core::document::spec::RouteSpec;
use quetzalrack_core::ids::SlotCount;
use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::admission::Admission;
use quetzalrack_core::traffic::admission::AdmissionAction;
use quetzalrack_core::traffic::admission::AdmissionEvent;
use quetzalrack_core::traffic::admission::AdmissionRequest;
use quetzalrack_core::traffic::admission::AttemptOutcome;
use quetzalrack_core::traffic::admission::Ticket;
use quetzalrack_core::traffic::balancing::NodeLoad;
use quetzalrack_core::traffic::refusal::RefusalCode;
use tokio::sync::oneshot;

/// Assigns slots to waiting tasks as [`Admission`] decides.
pub(super) struct Slots {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    admission: Admission,
    last_ticket: Ticket,
    waiting: HashMap<Ticket, Waiter>,
}

type Waiter = oneshot::Sender<Result<Slot, RefusalCode>>;

/// A slot of the backend server; its holder reports the outcome of the request.
pub(super) struct Slot {
    slots: Arc<Slots>,
    ticket: Ticket,
    held: bool,
}

struct QueuedRequest {
    slots: Arc<Slots>,
    ticket: Ticket,
}

impl Slots {
    pub(super) fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            state: Mutex::default(),
        }
    }

    /// Waits for a slot. Dropping the future removes the request from the wait queue.
    pub(super) async fn acquire(
        self: &Arc<Self>,
        route: &RouteSpec,
        deadline: Moment,
    ) -> Result<Slot, RefusalCode> {
        let (sender, receiver) = oneshot::channel();
        let queued = {
            let mut state = self.lock();
            state.last_ticket = state.last_ticket.next();
            let ticket = state.last_ticket;
            state.waiting.insert(ticket, sender);
            QueuedRequest {
                slots: Arc::clone(self),
                ticket,
            }
        };
        self.handle_event(AdmissionEvent::Arrived(AdmissionRequest {
            ticket: queued.ticket,
            route: route.name.clone(),
            priority: route.priority,
            deadline,
        }));
        // The sender is dropped without a result only while the process shuts down.
        receiver.await.unwrap_or(Err(RefusalCode::Overloaded))
    }

    /// Passes an event to admission control and sends its decisions to the waiting tasks.
    pub(super) fn handle_event(self: &Arc<Self>, event: AdmissionEvent) {
        let mut decisions = Vec::new();
        {
            let mut state = self.lock();
            let actions = state.admission.step(self.clock.now(), event);
            for action in actions {
                let (ticket, outcome) = match action {
                    AdmissionAction::Admit(ticket) => (ticket, Ok(self.slot(ticket))),
                    AdmissionAction::Refuse(ticket, code) => (ticket, Err(code)),
                };
                decisions.push((state.waiting.remove(&ticket), outcome));
            }
        }
        // Sent outside the lock: a slot whose task has gone is dropped here, which locks again.
        for (waiter, outcome) in decisions {
            if let Some(waiter) = waiter {
                let _ = waiter.send(outcome);
            }
        }
    }

    /// Returns the load that is reported to other nodes.
    pub(super) fn load(&self) -> NodeLoad {
        let state = self.lock();
        let waiting = u32::try_from(state.admission.waiting()).unwrap_or(u32::MAX);
        NodeLoad {
            in_flight: SlotCount(state.admission.in_flight().0.saturating_add(waiting)),
            limit: state.admission.limit(),
            latency_us: microseconds(state.admission.latency(self.clock.now())),
        }
    }

    pub(super) fn limit(&self) -> SlotCount {
        self.lock().admission.limit()
    }

    pub(super) fn in_flight(&self) -> SlotCount {
        self.lock().admission.in_flight()
    }

    pub(super) fn waiting(&self) -> usize {
        self.lock().admission.waiting()
    }

    pub(super) fn server_state(&self) -> ServerState {
        self.lock().admission.state()
    }

    fn slot(self: &Arc<Self>, ticket: Ticket) -> Slot {
        Slot {
            slots: Arc::clone(self),
            ticket,
            held: true,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Slot {
    /// Releases the slot.
    pub(super) fn end(mut self, outcome: AttemptOutcome) {
        self.release(outcome);
    }

    fn release(&mut self, outcome: AttemptOutcome) {
        if std::mem::take(&mut self.held) {
            let ticket = self.ticket;
            self.slots
                .handle_event(AdmissionEvent::Ended { ticket, outcome });
        }
    }
}

impl Drop for Slot {
    /// Releases a slot that was never used, or whose request ended without a usable outcome.
    fn drop(&mut self) {
        self.release(AttemptOutcome::Abandoned);
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let waited = self.slots.lock().waiting.remove(&self.ticket).is_some();
        if waited {
            self.slots
                .handle_event(AdmissionEvent::Cancelled(self.ticket));
        }
    }
}

fn microseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX)
}
