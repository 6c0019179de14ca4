//! Speaking to the leader, and obeying it.

use std::net::SocketAddr;
use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::NodeMachine;
use crate::model::Granting;
use crate::ownership::Action;
use crate::ownership::Beat;
use crate::ownership::Epoch;
use crate::ownership::KeyLoad;
use crate::ownership::LeaseTimes;
use crate::ownership::Member;
use crate::ownership::Order;
use crate::ownership::PeerMessage;
use crate::ownership::ServerCard;
use crate::ownership::holder::Lease;

/// How soon a node speaks again when its leader does not know yet what its server holds.
const SOON: Duration = Duration::from_millis(60);
/// How soon it speaks again while keys are on their way to its server.
const EXPECTING: Duration = Duration::from_millis(100);

/// The shortest time between two beats that the leader has asked for: grants come in bursts.
const PROMPTED_PAUSE: Duration = Duration::from_millis(10);

/// How many unanswered beats are remembered.
const BEATS_KEPT: usize = 16;

/// How often a peer that has read further in the operators' intent is asked for it.
const FETCH_PAUSE: Duration = Duration::from_millis(300);

/// How often the load of the keys is sent; it is the longest part of a beat.
const KEY_LOADS_PAUSE: Duration = Duration::from_millis(500);

impl NodeMachine {
    pub(super) fn take(
        &mut self,
        now: Moment,
        from: SocketAddr,
        message: PeerMessage,
        actions: &mut Vec<Action>,
    ) {
        match message {
            PeerMessage::Beat(beat) => {
                if let Some(leader) = &mut self.leader {
                    leader.set_intent_confirmed(self.intent_watch.confirmed());
                    leader.handle_heartbeat(now, from, &beat, actions);
                }
            }
            PeerMessage::Order(order) => self.obey(now, &order, actions),
            PeerMessage::Ask {
                from: _,
                epoch,
                intent,
                traffic,
            } => {
                self.fetch_newer(now, intent, traffic, actions);
                actions.push(Action::Send(from, self.say(now, epoch)));
            }
            PeerMessage::Say {
                from,
                epoch,
                hears,
                intent,
                traffic,
            } => {
                self.fetch_newer(now, intent, traffic, actions);
                self.search.record_reply(now, from.node, epoch, hears);
            }
            PeerMessage::Lead(record) => {
                if record.epoch > self.stood_down {
                    self.follow(now, *record, actions);
                }
            }
            PeerMessage::Handoff(handoff) => self.take_over(now, &handoff, actions),
            PeerMessage::Resign { epoch } => {
                if let Some(following) = &mut self.following
                    && following.record.epoch == epoch
                {
                    following.resigned = true;
                }
            }
            PeerMessage::Prompt { epoch } => self.hurry(now, epoch),
        }
    }

    /// Tells another node whether the leader of an epoch is heard here.
    fn say(&self, now: Moment, epoch: Epoch) -> PeerMessage {
        let hears = self.hears_leader(now) && self.epoch().is_some_and(|own| own >= epoch);
        PeerMessage::Say {
            from: self.profile.life.clone(),
            epoch,
            hears,
            intent: self.intent.offset,
            traffic: self.profile.traffic,
        }
    }

    /// Speaks to the leader as soon as may be, if it is the one that asks for it.
    fn hurry(&mut self, now: Moment, epoch: Epoch) {
        if self.epoch() != Some(epoch) {
            return;
        }
        let last = self.sent.back().map(|(_, at)| *at);
        let rested = last.map_or(now, |last| now.max(last + PROMPTED_PAUSE));
        self.beat_due = self.beat_due.min(rested);
    }

    pub(super) fn obey(&mut self, now: Moment, order: &Order, actions: &mut Vec<Action>) {
        let Some(following) = &mut self.following else {
            return;
        };
        let known = following.record.epoch == order.epoch
            && following.record.leader == order.leader
            && order.life == self.profile.life.life;
        let beat = self
            .outstanding
            .iter()
            .find(|(sequence, _)| *sequence == order.sequence);
        // An order that answers no outstanding beat is late, doubled, or meant for an earlier life.
        let Some((sequence, sent)) = beat.copied().filter(|_| known) else {
            return;
        };
        self.outstanding.retain(|(earlier, _)| *earlier > sequence);
        following.heard = Some(now);
        following.stamp = Some(order.stamp);
        match &order.assignment {
            Some(assignment) => {
                self.note_assigned(order.epoch, assignment, actions);
                let lease = Duration::from_millis(u64::from(order.lease));
                self.lease = Some(Lease {
                    until: sent + lease,
                    assignment: assignment.clone(),
                });
            }
            None if self.server.is_settled(self.granting()) => {
                self.beat_due = self.beat_due.min(now + SOON)
            }
            None => {}
        }
        if order.expects {
            self.beat_due = self.beat_due.min(now + EXPECTING);
        }
        self.directory.apply(&order.update);
        if order.intent <= self.intent.offset {
            let age = Duration::from_millis(u64::from(order.intent_age));
            self.intent_watch.confirm(sent.before(age));
        }
        let leader = self.directory.members.get(&order.leader.node);
        if let Some(traffic) = leader.map(|entry| entry.member.traffic) {
            self.fetch_newer(now, order.intent, traffic, actions);
        }
        actions.push(Action::Publish);
    }

    /// Asks a node for the operators' intent if it has read further.
    fn fetch_newer(
        &mut self,
        now: Moment,
        intent: u64,
        traffic: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        if intent > self.intent.offset && now.since(self.fetched) >= FETCH_PAUSE {
            self.fetched = now;
            actions.push(Action::FetchIntent(traffic));
        }
    }

    /// Asks a neighbour for the operators' document if this node knows none: it has started while the
    /// store is away, and others go on by theirs.
    pub(super) fn meet(&mut self, now: Moment, neighbour: SocketAddr, actions: &mut Vec<Action>) {
        if self.intent.config.is_none() {
            self.fetch_newer(now, u64::MAX, neighbour, actions);
        }
    }

    fn heartbeat_age(&self, now: Moment) -> u16 {
        let age = self.server.heard_at().map(|at| now.since(at).as_millis());
        age.and_then(|age| u16::try_from(age).ok())
            .unwrap_or(u16::MAX)
    }

    pub(super) fn beat(&mut self, now: Moment, actions: &mut Vec<Action>) {
        self.beat_due = now + self.times.node_heartbeat;
        let Some(following) = &self.following else {
            return;
        };
        if self.stood_down >= following.record.epoch {
            return;
        }
        let (epoch, stamp) = (following.record.epoch, following.stamp);
        let control = following.record.control;
        let (card, holding) = (self.card(now), self.server.holding(now));
        self.sequence += 1;
        let age = now.since(self.started);
        let lease = self.lease.as_ref();
        let left = lease.map_or(Duration::ZERO, |lease| lease.until.since(now));
        let granting = self.granting();
        let beat = Beat {
            epoch,
            member: self.member(card.clone()),
            sequence: self.sequence,
            order: stamp,
            // A restarted process may have followed a later leader in its earlier life. It has read
            // the store since, or every authority of that time has ended.
            vouches: self.read_epoch.is_some_and(|read| read <= epoch)
                || age >= self.times.lease * 2,
            // Rounded down, so that the leader takes the moment for later than it was.
            quiet: milliseconds(now.since(self.obeyed)),
            left: milliseconds(left),
            known: self.knows_holding(now),
            granting,
            holding: holding.clone(),
            leftover: self.server.leftover(now),
            outbid: self.server.outbid(lease),
            heartbeat_age: self.heartbeat_age(now),
            freed: self.server.freed(now),
            load: self.load,
            key_loads: self.due_key_loads(now),
            members: self.directory.member_digests(),
            table: self.directory.members_version,
            owners: self.directory.owners_version,
            intent: self.intent.offset,
        };
        self.told = Some((card, holding));
        for kept in [&mut self.outstanding, &mut self.sent] {
            if kept.len() == BEATS_KEPT {
                kept.pop_front();
            }
            kept.push_back((self.sequence, now));
        }
        actions.push(Action::Send(control, PeerMessage::Beat(Box::new(beat))));
    }

    /// Tells whether this process knows all that its server may hold.
    fn knows_holding(&self, now: Moment) -> bool {
        let age = now.since(self.started);
        let knows = |granting| match granting {
            Granting::ByHeartbeat => {
                self.server.is_settled(granting)
                    || age >= LeaseTimes::plus_clock_drift(self.times.lease)
            }
            // Calls of an earlier process have ended by then, obeyed or not.
            Granting::ByCall => {
                age >= LeaseTimes::plus_clock_drift(self.times.max_hold + self.times.call_timeout)
            }
        };
        match self.intent.config {
            Some(_) => knows(self.granting()),
            // The document may say either way.
            None => knows(Granting::ByHeartbeat) && knows(Granting::ByCall),
        }
    }

    fn member(&self, server: Option<ServerCard>) -> Member {
        Member {
            life: self.profile.life.clone(),
            zone: self.profile.zone.clone(),
            control: self.profile.control,
            traffic: self.profile.traffic,
            service: self.profile.service.clone(),
            server,
            narrow: self.profile.narrow,
            leaving: self.leaving,
        }
    }

    fn due_key_loads(&mut self, now: Moment) -> Vec<KeyLoad> {
        if now.since(self.key_loads_sent) < KEY_LOADS_PAUSE {
            return Vec::new();
        }
        self.key_loads_sent = now;
        self.key_loads.clone()
    }
}

fn milliseconds(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
