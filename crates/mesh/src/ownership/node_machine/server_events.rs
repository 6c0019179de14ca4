//! Events at the backend server, and what the node reports of it.

use quetzalrack_core::time::Moment;

use super::NodeMachine;
use super::log_entry::log_event;
use crate::model::Granting;
use crate::model::OperatorsIntent;
use crate::model::ServerHeartbeat;
use crate::ownership::Action;
use crate::ownership::HeartbeatAnswer;
use crate::ownership::ServerEvent;
use crate::ownership::ServerInfo;
use crate::ownership::server_grants::Lease;

/// The number of missed heartbeats from which on nothing is granted to a backend server.
const MISSED_HEARTBEATS: u32 = 3;

impl NodeMachine {
    pub(super) fn handle_server_event(
        &mut self,
        now: Moment,
        event: ServerEvent,
        actions: &mut Vec<Action>,
    ) {
        match event {
            ServerEvent::Heartbeat(heartbeat) => {
                self.handle_server_heartbeat(now, heartbeat, actions);
            }
            ServerEvent::Leaving { id, started_ms } => {
                self.record_leaving(now, id, started_ms, actions);
            }
            ServerEvent::Draining(incarnation) => self.server.record_draining(incarnation),
            ServerEvent::CallEnded(id, outcome) => {
                self.server
                    .record_call_outcome(now, id, outcome, &self.times);
            }
            ServerEvent::Unreachable => {
                self.server_lost = true;
                self.drop_unused_lease();
            }
        }
        let current = (self.server_info(now), self.server.holding(now));
        if self.reported.as_ref() != Some(&current) {
            self.heartbeat_due = now;
        }
        actions.push(Action::Publish);
    }

    fn handle_server_heartbeat(
        &mut self,
        now: Moment,
        heartbeat: ServerHeartbeat,
        actions: &mut Vec<Action>,
    ) {
        let incarnation = heartbeat.incarnation.clone();
        if self.server.incarnation() != Some(&incarnation) {
            let epoch = self.epoch().unwrap_or_default();
            let detail = format!(
                "{incarnation}, heartbeat {}, holds {} ranges",
                heartbeat.sequence,
                heartbeat.holds.len()
            );
            log_event(actions, "server_life", epoch, detail);
        }
        if !self.is_of_host(&heartbeat) || self.is_before_departure(&heartbeat) {
            actions.push(Action::AnswerHeartbeat(HeartbeatAnswer::Acknowledged));
            return;
        }
        self.record_draining_heartbeat(now, &heartbeat);
        let draining = heartbeat.draining;
        let granting = self.granting();
        let lease = usable_lease(now, &self.lease, &self.intent);
        let answer = self
            .server
            .handle_heartbeat(now, heartbeat, granting, lease, &self.times);
        if self.server.incarnation() == Some(&incarnation) {
            self.server_lost = false;
        }
        self.answer_heartbeat(draining, answer, actions);
    }

    /// Tells whether the backend server is leaving, by its heartbeats or its responses.
    pub fn is_server_draining(&self) -> bool {
        let newest = self.server.newest();
        self.server.is_draining() || newest.is_some_and(|newest| self.is_before_departure(newest))
    }

    /// Tells whether the backend server had been running for a while when this process first heard it.
    pub fn server_ran_before(&self) -> bool {
        self.server.ran_before()
    }

    /// Tells whether a heartbeat names the host's server: its address, and its service or another one of the
    /// operators' document. What another writer sends says nothing about the server here, which goes on
    /// holding its keys.
    fn is_of_host(&self, heartbeat: &ServerHeartbeat) -> bool {
        heartbeat.address == self.profile.server && self.names_known_service(heartbeat)
    }

    fn names_known_service(&self, heartbeat: &ServerHeartbeat) -> bool {
        let config = self.intent.config.as_ref();
        heartbeat.service == self.profile.service
            || config.is_some_and(|config| config.services.contains_key(&heartbeat.service))
    }

    /// Returns how keys are granted to the backend server.
    pub(super) fn granting(&self) -> Granting {
        let config = self.intent.config.as_ref();
        let service = config.and_then(|config| config.services.get(&self.profile.service));
        let configured = service.and_then(|service| service.granting);
        configured.unwrap_or(self.profile.granting)
    }

    /// Makes the calls to the backend server that are due.
    pub(super) fn call_server(&mut self, now: Moment, actions: &mut Vec<Action>) {
        let granting = self.granting();
        let lease = usable_lease(now, &self.lease, &self.intent);
        let calls = self.server.due_calls(now, granting, lease, &self.times);
        actions.extend(calls.into_iter().map(Action::CallServer));
    }

    /// Drops the lease if the node has no server, so that nothing is granted until the leader's next reply.
    /// The leader relies on a node's report that it has no server, and grants the server's keys to others
    /// once they are released. If the server sends heartbeats again, an old lease must not restore its keys.
    pub(super) fn drop_unused_lease(&mut self) {
        if self.server().is_none() {
            self.lease = None;
        }
    }

    /// Removes from the lease of an earlier leader every range that the server does not hold. From now on
    /// this node reports to another leader what its server may hold, and that leader may grant the other
    /// ranges elsewhere.
    pub(super) fn keep_held_ranges(&mut self, now: Moment) {
        let holding = self.server.holding(now);
        if let Some(lease) = &mut self.lease {
            let ranges = &mut lease.assignment.ranges;
            ranges.retain(|range| {
                let keys = range.held.keys;
                holding.iter().any(|held| {
                    held.fence == range.held.fence && held.keys.common(&keys) == Some(keys)
                })
            });
        }
    }

    pub(super) fn set_intent(&mut self, now: Moment, intent: OperatorsIntent) {
        if intent.offset <= self.intent.offset && self.intent.config.is_some() {
            return;
        }
        if let Some(leader) = &mut self.leader {
            leader.set_intent(intent.clone());
        }
        self.intent = intent;
        self.heartbeat_due = now;
    }

    pub(super) fn server_info(&self, now: Moment) -> Option<ServerInfo> {
        let newest = self.server()?;
        let heartbeat_at = self.server.heartbeat_at()?;
        Some(ServerInfo {
            incarnation: newest.incarnation.clone(),
            slots: u16::try_from(newest.slots).unwrap_or(u16::MAX),
            draining: self.is_server_draining()
                || self.intent.evacuated.contains(&self.profile.zone),
            cold: now < self.server.cold_until(),
            holding_known: self.server.is_holding_known(self.granting()),
            silent: now.since(heartbeat_at) >= self.profile.heartbeat * MISSED_HEARTBEATS,
        })
    }
}

/// Returns the lease if it has not ended and the operators' document is known. Without the document the way
/// of granting is not certain, since it may differ from the one in the host's settings.
fn usable_lease<'a>(
    now: Moment,
    lease: &'a Option<Lease>,
    intent: &OperatorsIntent,
) -> Option<&'a Lease> {
    let lease = lease.as_ref()?;
    (now < lease.until && intent.config.is_some()).then_some(lease)
}
