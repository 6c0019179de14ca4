//! The departure of the node's own backend server.

use quetzalrack_core::time::Moment;

use super::NodeMachine;
use super::log_entry::log_event;
use crate::model::ServerHeartbeat;
use crate::model::ServerId;
use crate::model::ServerIncarnation;
use crate::ownership::Action;
use crate::ownership::DepartureState;
use crate::ownership::HeartbeatAnswer;
use crate::ownership::ServerDeparture;

/// What a process knows of the departure of its server.
///
/// It binds every later process of the node too, so it is acknowledged once the store has it.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnDeparture {
    newest: Option<ServerDeparture>,
    /// Whether the leader's record in the store has it.
    stored: bool,
    /// Whether the server waits for its acknowledgement.
    is_awaited: bool,
}

impl OwnDeparture {
    /// Records a departure and returns whether it is new.
    fn record(&mut self, departure: ServerDeparture) -> bool {
        let known = self.newest.as_ref();
        if known.is_some_and(|known| known.covers(&departure)) {
            return false;
        }
        self.newest = Some(departure);
        self.stored = false;
        true
    }

    /// Returns what the leader is still to write to the store.
    pub(super) fn unstored(&self) -> Option<&ServerDeparture> {
        self.newest.as_ref().filter(|_| !self.stored)
    }
}

impl NodeMachine {
    /// Tells whether the incarnation that sent the newest heartbeat has left.
    pub(super) fn has_server_left(&self) -> bool {
        let Some((departure, incarnation)) = self
            .departure
            .newest
            .as_ref()
            .zip(self.server.incarnation())
        else {
            return false;
        };
        match departure.incarnation == *incarnation {
            true => departure.state == DepartureState::Left,
            false => {
                departure.is_after(incarnation, 0) && !self.server.is_proven_successor(incarnation)
            }
        }
    }

    /// Tells whether the server sent a heartbeat before it announced that it leaves.
    pub(super) fn is_before_departure(&self, heartbeat: &ServerHeartbeat) -> bool {
        let departure = self.departure.newest.as_ref();
        departure.is_some_and(|departure| {
            departure.incarnation == heartbeat.incarnation
                && departure.state.is_later_than(heartbeat.sequence)
        })
    }

    /// Records a heartbeat that is the first to say that its server is draining.
    pub(super) fn record_draining_heartbeat(&mut self, now: Moment, heartbeat: &ServerHeartbeat) {
        let is_known = |departure: &ServerDeparture| {
            departure.incarnation == heartbeat.incarnation && self.is_server_draining()
        };
        if heartbeat.draining && !self.departure.newest.as_ref().is_some_and(is_known) {
            let state = DepartureState::Draining(heartbeat.sequence);
            self.record_departure(now, heartbeat.incarnation.clone(), state);
        }
    }

    /// Records that the server leaves.
    pub(super) fn record_leaving(
        &mut self,
        now: Moment,
        id: ServerId,
        started_ms: Option<u64>,
        actions: &mut Vec<Action>,
    ) {
        let current = self.server.incarnation().filter(|own| own.id == id);
        let current = current.map(|own| own.started_ms);
        // Of a server that was never heard and doesn't say when it started, it is known that it has by now.
        let started_ms = started_ms.or(current).or(self.server.unix_time(now));
        let Some(started_ms) = started_ms else {
            return;
        };
        let incarnation = ServerIncarnation { id, started_ms };
        self.server.forget_proof(&incarnation);
        self.record_departure(now, incarnation, DepartureState::Left);
        self.drop_unused_lease();
        self.departure.is_awaited = true;
        actions.push(Action::DelayAnswer(HeartbeatAnswer::Acknowledged));
    }

    /// Answers a heartbeat, which acknowledges what it says. If it says that the server is draining, the answer
    /// waits until the store has that.
    pub(super) fn answer_heartbeat(
        &mut self,
        draining: bool,
        answer: HeartbeatAnswer,
        actions: &mut Vec<Action>,
    ) {
        if draining && self.departure.unstored().is_some() {
            self.departure.is_awaited = true;
            actions.push(Action::DelayAnswer(answer));
        } else {
            actions.push(Action::AnswerHeartbeat(answer));
        }
    }

    /// Records the departures that the leader's record in the store has.
    pub(super) fn record_stored_departures(
        &mut self,
        now: Moment,
        stored: &[ServerDeparture],
        actions: &mut Vec<Action>,
    ) {
        let own = stored.iter().find(|stored| stored.node == *self.own_name());
        let Some(stored) = own else {
            return;
        };
        if self.departure.record(stored.clone()) {
            self.server.record_start(&stored.incarnation);
            self.drop_unused_lease();
            self.heartbeat_due = now;
        }
        let newest = self.departure.newest.as_ref();
        if self.departure.stored || !newest.is_some_and(|newest| stored.covers(newest)) {
            return;
        }
        self.departure.stored = true;
        let detail = format!("{} {:?}", stored.incarnation, stored.state);
        let epoch = self.epoch().unwrap_or_default();
        log_event(actions, "departure_stored", epoch, detail);
    }

    /// Acknowledges the departure that the server waits for, once the store has it.
    pub(super) fn acknowledge_departure(&mut self, actions: &mut Vec<Action>) {
        if self.departure.is_awaited && self.departure.unstored().is_none() {
            self.departure.is_awaited = false;
            actions.push(Action::AcknowledgeDeparture);
        }
    }

    fn record_departure(
        &mut self,
        now: Moment,
        incarnation: ServerIncarnation,
        state: DepartureState,
    ) {
        self.server.record_start(&incarnation);
        let departure = ServerDeparture {
            node: self.own_name().clone(),
            incarnation,
            state,
        };
        if self.departure.record(departure) {
            self.heartbeat_due = now;
        }
    }
}
