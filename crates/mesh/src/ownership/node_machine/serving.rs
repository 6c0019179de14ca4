//! What the backend server says, and what others learn of it.

use quetzalrack_core::time::Moment;

use super::NodeMachine;
use super::note::note;
use crate::model::Granting;
use crate::model::OperatorsIntent;
use crate::ownership::Action;
use crate::ownership::HeartbeatAnswer;
use crate::ownership::ServerCard;
use crate::ownership::ServerEvent;
use crate::ownership::holder::Lease;

/// How many heartbeats a backend server may miss until nothing is granted to it.
const MISSED_HEARTBEATS: u32 = 3;

impl NodeMachine {
    pub(super) fn hear_server(
        &mut self,
        now: Moment,
        event: ServerEvent,
        actions: &mut Vec<Action>,
    ) {
        match event {
            ServerEvent::Heartbeat(heartbeat) => {
                let life = heartbeat.life.clone();
                if self.server.life() != Some(&life) {
                    let epoch = self.epoch().unwrap_or_default();
                    let detail = format!(
                        "{life}, heartbeat {}, holds {} ranges",
                        heartbeat.sequence,
                        heartbeat.holds.len()
                    );
                    note(actions, "server_life", epoch, detail);
                }
                let granting = self.granting();
                let lease = usable(now, &self.lease, &self.intent);
                let answer = self
                    .server
                    .hear(now, heartbeat, granting, lease, &self.times);
                if self.server.life() == Some(&life) {
                    self.server_gone = false;
                }
                actions.push(Action::Answer(answer));
            }
            ServerEvent::Leaves(id) => {
                self.server.leaves(now, &id);
                self.forget_lease();
                actions.push(Action::Answer(HeartbeatAnswer::Heard));
            }
            ServerEvent::CallEnded(id, outcome) => {
                self.server.call_ended(now, id, outcome, &self.times);
            }
            ServerEvent::Gone => {
                self.server_gone = true;
                self.forget_lease();
            }
        }
        let news = (self.card(now), self.server.holding(now));
        if self.told.as_ref() != Some(&news) {
            self.beat_due = now;
        }
        actions.push(Action::Publish);
    }

    /// Returns how the backend server is granted keys.
    pub(super) fn granting(&self) -> Granting {
        let config = self.intent.config.as_ref();
        let service = config.and_then(|config| config.services.get(&self.profile.service));
        let said = service.and_then(|service| service.granting);
        said.unwrap_or(self.profile.granting)
    }

    /// Asks the backend server for what the lease says, if it is granted keys by call.
    pub(super) fn call_server(&mut self, now: Moment, actions: &mut Vec<Action>) {
        let granting = self.granting();
        let lease = usable(now, &self.lease, &self.intent);
        let calls = self.server.call(now, granting, lease, &self.times);
        actions.extend(calls.into_iter().map(Action::CallServer));
    }

    /// Grants nothing until the next order. The leader relies on a node's report that it has no
    /// server, and gives the server's keys away once they are released; should the server speak again, an
    /// old lease must not bring them back.
    pub(super) fn forget_lease(&mut self) {
        if self.server().is_none() {
            self.lease = None;
        }
    }

    /// Grants nothing new of what an earlier leader gave: from now on this node tells another leader
    /// what its server may hold, and that one gives the rest away. What the server holds stays.
    pub(super) fn keep_offered(&mut self, now: Moment) {
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
        self.beat_due = now;
    }

    pub(super) fn card(&self, now: Moment) -> Option<ServerCard> {
        let newest = self.server()?;
        let heard = self.server.heard_at()?;
        Some(ServerCard {
            life: newest.life.clone(),
            slots: u16::try_from(newest.slots).unwrap_or(u16::MAX),
            draining: newest.draining || self.intent.evacuated.contains(&self.profile.zone),
            cold: now < self.server.cold_until(),
            settled: self.server.is_settled(self.granting()),
            silent: now.since(heard) >= self.profile.heartbeat * MISSED_HEARTBEATS,
        })
    }
}

/// Returns the lease if it lasts and the document is known, which may say another way of granting than the
/// host's settings.
fn usable<'a>(
    now: Moment,
    lease: &'a Option<Lease>,
    intent: &OperatorsIntent,
) -> Option<&'a Lease> {
    let lease = lease.as_ref()?;
    (now < lease.until && intent.config.is_some()).then_some(lease)
}
