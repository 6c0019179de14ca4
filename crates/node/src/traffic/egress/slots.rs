//! The slots of the backend server, as tasks ask for them.

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

/// Gives out slots as [`Admission`] decides.
pub(super) struct Slots {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    admission: Admission,
    next: Ticket,
    waiting: HashMap<Ticket, Waiter>,
}

type Waiter = oneshot::Sender<Result<Slot, RefusalCode>>;

/// Is a slot of the backend server; the holder says how its request ended.
pub(super) struct Slot {
    slots: Arc<Slots>,
    ticket: Ticket,
    open: bool,
}

struct Place {
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

    /// Waits for a slot. Dropping the future gives the place in the line back.
    pub(super) async fn acquire(
        self: &Arc<Self>,
        route: &RouteSpec,
        deadline: Moment,
    ) -> Result<Slot, RefusalCode> {
        let (sender, receiver) = oneshot::channel();
        let place = {
            let mut state = self.lock();
            state.next = state.next.next();
            let ticket = state.next;
            state.waiting.insert(ticket, sender);
            Place {
                slots: Arc::clone(self),
                ticket,
            }
        };
        self.step(AdmissionEvent::Arrived(AdmissionRequest {
            ticket: place.ticket,
            route: route.name.clone(),
            priority: route.priority,
            deadline,
        }));
        // The sender is dropped without a word only if the process is going down.
        receiver.await.unwrap_or(Err(RefusalCode::Overloaded))
    }

    /// Passes an event on and hands out what follows from it.
    pub(super) fn step(self: &Arc<Self>, event: AdmissionEvent) {
        let mut given = Vec::new();
        {
            let mut state = self.lock();
            let actions = state.admission.step(self.clock.now(), event);
            for action in actions {
                let (ticket, outcome) = match action {
                    AdmissionAction::Admit(ticket) => (ticket, Ok(self.slot(ticket))),
                    AdmissionAction::Refuse(ticket, code) => (ticket, Err(code)),
                };
                given.push((state.waiting.remove(&ticket), outcome));
            }
        }
        // Outside the lock: a slot whose taker has gone is dropped here, and takes the lock again.
        for (waiter, outcome) in given {
            if let Some(waiter) = waiter {
                let _ = waiter.send(outcome);
            }
        }
    }

    /// Returns the load as other nodes are told of it.
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
            open: true,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Slot {
    /// Gives the slot back.
    pub(super) fn end(mut self, end: AttemptOutcome) {
        self.give_back(end);
    }

    fn give_back(&mut self, end: AttemptOutcome) {
        if std::mem::take(&mut self.open) {
            let ticket = self.ticket;
            self.slots.step(AdmissionEvent::Ended {
                ticket,
                outcome: end,
            });
        }
    }
}

impl Drop for Slot {
    /// A slot that is dropped was never used, or its request ended in a way that says nothing.
    fn drop(&mut self) {
        self.give_back(AttemptOutcome::Abandoned);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let waited = self.slots.lock().waiting.remove(&self.ticket).is_some();
        if waited {
            self.slots.step(AdmissionEvent::Cancelled(self.ticket));
        }
    }
}

fn microseconds(span: Duration) -> u32 {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX)
}
