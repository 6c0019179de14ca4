//! Messages from peers, and heartbeats to the leader.

use std::net::SocketAddr;
use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::NodeMachine;
use crate::model::Granting;
use crate::ownership::Action;
use crate::ownership::Epoch;
use crate::ownership::KeyLoad;
use crate::ownership::LeaderReply;
use crate::ownership::LeaseTimes;
use crate::ownership::Member;
use crate::ownership::NodeHeartbeat;
use crate::ownership::PeerMessage;
use crate::ownership::ServerInfo;
use crate::ownership::server_grants::Lease;

/// The time until the next heartbeat if the leader does not know yet what the node's server holds.
const UNASSIGNED_PAUSE: Duration = Duration::from_millis(60);
/// The time until the next heartbeat if the leader asks for an early one.
const EARLY_PAUSE: Duration = Duration::from_millis(100);

/// The shortest time before a heartbeat that the leader requests. Grants come in bursts, and one heartbeat
/// serves a whole burst.
const REQUESTED_PAUSE: Duration = Duration::from_millis(10);

/// How many of the newest heartbeats are remembered, and how many of those that got no reply yet.
const MAX_SENT_HEARTBEATS: usize = 16;

/// The shortest time between two fetches of the operators' intent from peers.
const FETCH_INTERVAL: Duration = Duration::from_millis(300);

/// How often a heartbeat carries the load of the keys, which is its longest part.
const KEY_LOADS_INTERVAL: Duration = Duration::from_millis(500);

impl NodeMachine {
    pub(super) fn handle_message(
        &mut self,
        now: Moment,
        from: SocketAddr,
        message: PeerMessage,
        actions: &mut Vec<Action>,
    ) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                self.handle_node_heartbeat(now, from, &heartbeat, actions);
            }
            PeerMessage::Reply(reply) => self.apply_reply(now, &reply, actions),
            PeerMessage::LeaderQuery {
                from: _,
                epoch,
                intent_offset,
                traffic,
            } => {
                self.fetch_newer_intent(now, intent_offset, traffic, actions);
                actions.push(Action::Send(from, self.leader_status(now, epoch)));
            }
            PeerMessage::LeaderStatus {
                from,
                epoch,
                responsive,
                intent_offset,
                traffic,
            } => {
                self.fetch_newer_intent(now, intent_offset, traffic, actions);
                self.search.record_reply(now, from.node, epoch, responsive);
            }
            PeerMessage::LeaderAnnouncement(record) => {
                if record.epoch > self.ended_epoch {
                    self.follow(now, *record, actions);
                }
            }
            PeerMessage::Handoff(handoff) => self.accept_handoff(now, &handoff, actions),
            PeerMessage::Resign { epoch } => {
                if let Some(followed) = &mut self.followed
                    && followed.record.epoch == epoch
                {
                    followed.resigned = true;
                }
            }
            PeerMessage::HeartbeatRequest { epoch } => self.handle_heartbeat_request(now, epoch),
        }
    }

    fn handle_node_heartbeat(
        &mut self,
        now: Moment,
        from: SocketAddr,
        heartbeat: &NodeHeartbeat,
        actions: &mut Vec<Action>,
    ) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        leader.set_intent_confirmed(self.intent_poller.confirmed());
        leader.handle_heartbeat(now, from, heartbeat, actions);
    }

    /// Returns the reply to a query whether the leader of an epoch responds to this node.
    fn leader_status(&self, now: Moment, epoch: Epoch) -> PeerMessage {
        let responsive =
            self.is_leader_responsive(now) && self.epoch().is_some_and(|own| own >= epoch);
        PeerMessage::LeaderStatus {
            from: self.profile.incarnation.clone(),
            epoch,
            responsive,
            intent_offset: self.intent.offset,
            traffic: self.profile.traffic,
        }
    }

    /// Schedules a heartbeat as early as the minimum pause allows, if the followed leader requests it.
    fn handle_heartbeat_request(&mut self, now: Moment, epoch: Epoch) {
        if self.epoch() != Some(epoch) {
            return;
        }
        let last = self.sent.back().map(|(_, at)| *at);
        let earliest = last.map_or(now, |last| now.max(last + REQUESTED_PAUSE));
        self.heartbeat_due = self.heartbeat_due.min(earliest);
    }

    fn apply_reply(&mut self, now: Moment, reply: &LeaderReply, actions: &mut Vec<Action>) {
        let Some(followed) = &mut self.followed else {
            return;
        };
        let known = followed.record.epoch == reply.epoch
            && followed.record.leader == reply.leader
            && reply.incarnation == self.profile.incarnation.nonce;
        let heartbeat = self
            .outstanding
            .iter()
            .find(|(sequence, _)| *sequence == reply.sequence);
        // A reply to no outstanding heartbeat is late, duplicated, or meant for an earlier incarnation.
        let Some((sequence, sent)) = heartbeat.copied().filter(|_| known) else {
            return;
        };
        self.outstanding.retain(|(earlier, _)| *earlier > sequence);
        followed.reply_at = Some(now);
        followed.reply_sent = Some(reply.sent_at);
        match &reply.assignment {
            Some(assignment) => {
                self.log_assigned(reply.epoch, assignment, actions);
                let lease = Duration::from_millis(u64::from(reply.lease));
                self.lease = Some(Lease {
                    until: sent + lease,
                    assignment: assignment.clone(),
                });
            }
            None if self.server.is_holding_known(self.granting()) => {
                self.heartbeat_due = self.heartbeat_due.min(now + UNASSIGNED_PAUSE)
            }
            None => {}
        }
        if reply.early_heartbeat {
            self.heartbeat_due = self.heartbeat_due.min(now + EARLY_PAUSE);
        }
        self.directory.apply(&reply.update);
        self.record_stored_departures(now, &reply.departures, actions);
        if reply.intent_offset <= self.intent.offset {
            let age = Duration::from_millis(u64::from(reply.intent_age));
            self.intent_poller.confirm(sent.before(age));
        }
        let leader = self.directory.members.get(&reply.leader.node);
        if let Some(traffic) = leader.map(|entry| entry.member.traffic) {
            self.fetch_newer_intent(now, reply.intent_offset, traffic, actions);
        }
        actions.push(Action::Publish);
    }

    /// Fetches the operators' intent from a peer that has read further.
    fn fetch_newer_intent(
        &mut self,
        now: Moment,
        offset: u64,
        traffic: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        if offset > self.intent.offset && now.since(self.fetched_at) >= FETCH_INTERVAL {
            self.fetched_at = now;
            actions.push(Action::FetchIntent(traffic));
        }
    }

    /// Fetches the operators' document from a peer if this node knows none. It then started while the store
    /// was unreachable, and its peers still use the document that they know.
    pub(super) fn fetch_missing_intent(
        &mut self,
        now: Moment,
        peer: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        if self.intent.config.is_none() {
            self.fetch_newer_intent(now, u64::MAX, peer, actions);
        }
    }

    fn heartbeat_age(&self, now: Moment) -> u16 {
        let age = self
            .server
            .heartbeat_at()
            .map(|at| now.since(at).as_millis());
        age.and_then(|age| u16::try_from(age).ok())
            .unwrap_or(u16::MAX)
    }

    pub(super) fn send_heartbeat(&mut self, now: Moment, actions: &mut Vec<Action>) {
        self.heartbeat_due = now + self.times.node_heartbeat;
        let Some(followed) = &self.followed else {
            return;
        };
        if self.ended_epoch >= followed.record.epoch {
            return;
        }
        let (epoch, applied_reply) = (followed.record.epoch, followed.reply_sent);
        let to = followed.record.control;
        let (server, holding) = (self.server_info(now), self.server.holding(now));
        self.sequence += 1;
        let age = now.since(self.started);
        let lease = self.lease.as_ref();
        let lease_left = lease.map_or(Duration::ZERO, |lease| lease.until.since(now));
        let granting = self.granting();
        let message = NodeHeartbeat {
            epoch,
            member: self.member(server.clone()),
            sequence: self.sequence,
            applied_reply,
            // An earlier process of this node may have followed a later leader. That is ruled out once this
            // process has read the store, or once every leadership of that time has lapsed.
            confirms: self.read_epoch.is_some_and(|e| e <= epoch) || age >= self.times.lease * 2,
            // Rounded down, so that the leader computes a moment that is late rather than early.
            prior_age: milliseconds(now.since(self.prior_reply)),
            lease_left: milliseconds(lease_left),
            holding_complete: self.is_holding_complete(now),
            granting,
            holding: holding.clone(),
            earlier_grants: self.server.earlier_grants(now),
            stale_grants: self.server.stale_grants(lease),
            heartbeat_age: self.heartbeat_age(now),
            released: self.server.released(now),
            load: self.load,
            key_loads: self.due_key_loads(now),
            member_digests: self.directory.member_digests(),
            members_version: self.directory.members_version,
            owners_version: self.directory.owners_version,
            intent_offset: self.intent.offset,
            departures: self.departure.unstored().cloned().into_iter().collect(),
        };
        self.reported = Some((server, holding));
        for kept in [&mut self.outstanding, &mut self.sent] {
            if kept.len() == MAX_SENT_HEARTBEATS {
                kept.pop_front();
            }
            kept.push_back((self.sequence, now));
        }
        actions.push(Action::Send(to, PeerMessage::Heartbeat(Box::new(message))));
    }

    /// Tells whether this process knows everything that its server may hold.
    fn is_holding_complete(&self, now: Moment) -> bool {
        let age = now.since(self.started);
        let knows = |granting| match granting {
            Granting::ByHeartbeat => {
                self.server.is_holding_known(granting)
                    || age >= LeaseTimes::plus_clock_drift(self.times.lease)
            }
            // Calls of an earlier process have ended by then, whether carried out or not.
            Granting::ByCall => {
                age >= LeaseTimes::plus_clock_drift(self.times.max_hold + self.times.call_timeout)
            }
        };
        match self.intent.config {
            Some(_) => knows(self.granting()),
            // The unknown document may name either way of granting.
            None => knows(Granting::ByHeartbeat) && knows(Granting::ByCall),
        }
    }

    fn member(&self, server: Option<ServerInfo>) -> Member {
        Member {
            incarnation: self.profile.incarnation.clone(),
            zone: self.profile.zone.clone(),
            control: self.profile.control,
            traffic: self.profile.traffic,
            service: self.profile.service.clone(),
            server,
            narrow_link: self.profile.narrow_link,
            leaving: self.leaving,
        }
    }

    fn due_key_loads(&mut self, now: Moment) -> Vec<KeyLoad> {
        if now.since(self.key_loads_sent) < KEY_LOADS_INTERVAL {
            return Vec::new();
        }
        self.key_loads_sent = now;
        self.key_loads.clone()
    }
}

fn milliseconds(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
