//! Departures of the node's own backend server, and of those that other nodes tell of.

use quetzalrack_core::time::Moment;

use super::NodeMachine;
use crate::model::ServerHeartbeat;
use crate::model::ServerId;
use crate::model::ServerIncarnation;
use crate::ownership::Action;
use crate::ownership::DepartureState;
use crate::ownership::LeaderReply;
use crate::ownership::NodeHeartbeat;
use crate::ownership::ServerDeparture;

impl NodeMachine {
    /// Tells whether the incarnation that sent the newest heartbeat has left.
    pub(super) fn has_server_left(&self) -> bool {
        let incarnation = self.server.incarnation();
        incarnation
            .and_then(|incarnation| self.departures.state(self.own_name(), incarnation))
            .is_some_and(|state| state == DepartureState::Left)
    }

    /// Tells whether the server sent a heartbeat before it announced that it leaves.
    pub(super) fn is_before_departure(&self, heartbeat: &ServerHeartbeat) -> bool {
        self.departures
            .state(self.own_name(), &heartbeat.incarnation)
            .is_some_and(|state| state.is_later_than(heartbeat.sequence))
    }

    /// Records a heartbeat that is the first to say that its server is draining.
    pub(super) fn record_draining_heartbeat(&mut self, now: Moment, heartbeat: &ServerHeartbeat) {
        let newest = self.server.newest();
        let newest = newest.filter(|newest| newest.incarnation == heartbeat.incarnation);
        let is_known = newest.is_some_and(|newest| newest.draining)
            && self
                .departures
                .state(self.own_name(), &heartbeat.incarnation)
                .is_some();
        if heartbeat.draining && !is_known {
            let state = DepartureState::Draining(heartbeat.sequence);
            self.record_departure(now, heartbeat.incarnation.clone(), state);
        }
    }

    /// Records that the server leaves. The acknowledgement waits until another process knows of it, since
    /// it binds the next process of this node too.
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
        self.record_departure(now, incarnation.clone(), DepartureState::Left);
        if !self.unacknowledged.contains(&incarnation) {
            self.unacknowledged.push(incarnation);
        }
        if let Some(leader) = &mut self.leader {
            leader.request_witnesses(now, actions);
        }
        self.drop_unused_lease();
    }

    /// Acknowledges the departures that another process knows of, or that no other node could know of.
    pub(super) fn acknowledge_departures(&mut self, actions: &mut Vec<Action>) {
        let is_alone = self.leader.as_ref().is_some_and(|leader| leader.is_alone());
        let own = &self.profile.incarnation.node;
        let departures = &self.departures;
        let known = self.unacknowledged.extract_if(.., |incarnation| {
            is_alone || departures.is_witnessed(own, incarnation)
        });
        actions.extend(known.map(|incarnation| Action::AcknowledgeLeaving(incarnation.id)));
    }

    /// Records the departures in a heartbeat to this leader.
    pub(super) fn record_reported_departures(&mut self, now: Moment, heartbeat: &NodeHeartbeat) {
        // A leader's own heartbeats to itself add no witness.
        if heartbeat.member.incarnation.node != *self.own_name() {
            self.departures.record_told(now, &heartbeat.departures);
            self.departures.record_witness(heartbeat.departures_index);
        }
    }

    /// Records the departures in a reply of the leader.
    pub(super) fn record_departures_told(&mut self, now: Moment, reply: &LeaderReply) {
        let is_other = reply.leader.node != *self.own_name();
        if is_other && self.departures.record_told(now, &reply.departures) {
            self.drop_unused_lease();
            self.heartbeat_due = now;
        }
        self.departures.record_reply(
            reply.sequence,
            &reply.departures,
            reply.departures_index,
            is_other,
        );
    }

    fn record_departure(
        &mut self,
        now: Moment,
        incarnation: ServerIncarnation,
        state: DepartureState,
    ) {
        self.server.record_start(&incarnation);
        let node = self.own_name().clone();
        let departure = ServerDeparture {
            node,
            incarnation,
            state,
        };
        if self.departures.record_own(now, departure) {
            self.heartbeat_due = now;
        }
    }
}
