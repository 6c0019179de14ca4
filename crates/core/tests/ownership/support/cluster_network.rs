//! Delivery of messages, log records and server calls.

use std::cmp::Reverse;
use std::time::Duration;

use quetzalrack_core::boundary::AppendOutcome;
use quetzalrack_core::boundary::GrantOutcome;
use quetzalrack_core::cluster::Announcement;
use quetzalrack_core::cluster::ServerState;
use quetzalrack_core::ids::ConnectionCount;
use quetzalrack_core::ids::Incarnation;
use quetzalrack_core::ids::Offset;
use quetzalrack_core::ids::SlotCount;
use quetzalrack_core::ownership::OwnershipAction;
use quetzalrack_core::ownership::OwnershipEvent;
use rand::Rng;

use super::Cluster;
use super::Delivery;
use super::FakeNode;
use super::Layout;
use super::cluster::NANOS_PER_MS;

const TICK_NS: u64 = 40 * NANOS_PER_MS;
const POLL_NS: u64 = 50 * NANOS_PER_MS;
const ANNOUNCE_NS: u64 = 500 * NANOS_PER_MS;

impl Cluster {
    pub(super) fn schedule(&mut self, after: u64, at: usize, delivery: Delivery) {
        self.sequence += 1;
        let key = Reverse((self.now + after, self.sequence));
        let incarnation = self.nodes[at].incarnation;
        self.queue.insert(key, (at, incarnation, delivery));
    }

    pub(super) fn deliver(&mut self, at: usize, incarnation: u64, delivery: Delivery) {
        if let Delivery::Appending { id, data } = delivery {
            self.append(at, incarnation, id, data);
            return;
        }
        let node = &mut self.nodes[at];
        let is_message = matches!(delivery, Delivery::Message { .. });
        if node.machine.is_none() || (node.incarnation != incarnation && !is_message) {
            return;
        }
        if node.paused_until > self.now {
            if !matches!(delivery, Delivery::Resume) {
                node.deferred.push_back(delivery);
            }
            return;
        }
        if matches!(delivery, Delivery::Resume) {
            self.checker.check_node(self.now, &self.nodes, at);
            let deferred = std::mem::take(&mut self.nodes[at].deferred);
            for delivery in deferred {
                self.deliver(at, incarnation, delivery);
            }
            return;
        }
        self.deliver_awake(at, delivery);
    }

    pub(super) fn deliver_awake(&mut self, at: usize, delivery: Delivery) {
        let event = match delivery {
            Delivery::Tick => {
                self.schedule(TICK_NS, at, Delivery::Tick);
                OwnershipEvent::Tick
            }
            Delivery::Poll => {
                self.schedule(POLL_NS, at, Delivery::Poll);
                self.poll(at)
            }
            Delivery::Announce => {
                self.schedule(ANNOUNCE_NS, at, Delivery::Announce);
                if !self.nodes[at].has_server {
                    return;
                }
                OwnershipEvent::ServerAnnounced(self.announcement(at))
            }
            Delivery::Message { from, message } => OwnershipEvent::MessageReceived {
                from: FakeNode::address(from),
                message: *message,
            },
            Delivery::Appended { id, outcome } => OwnershipEvent::AppendFinished { id, outcome },
            Delivery::Granted { slice, fence } => {
                self.checker.record_grant(&slice, fence);
                let outcome = GrantOutcome::Taken;
                OwnershipEvent::GrantAnswered {
                    slice,
                    fence,
                    outcome,
                }
            }
            Delivery::Drained { slice, fence } => OwnershipEvent::SliceDrained { slice, fence },
            Delivery::Resume | Delivery::Appending { .. } => return,
        };
        self.step(at, event);
    }

    pub(super) fn announcement(&self, at: usize) -> Announcement {
        Announcement {
            service: format!("service-{}", self.layout.service_of(at))
                .parse()
                .unwrap(),
            server: Layout::server_name(at),
            address: FakeNode::address(at),
            incarnation: Incarnation(1),
            slots: SlotCount(10),
            connections: ConnectionCount(100),
            checks_fence: true,
            state: ServerState::Warm,
            reported_load: 0.0,
        }
    }

    pub(super) fn poll(&mut self, at: usize) -> OwnershipEvent {
        if self.log.down || self.log_cuts.contains(&at) {
            return OwnershipEvent::LogUnavailable;
        }
        let node = &mut self.nodes[at];
        if node.next_offset < self.log.oldest {
            node.next_offset = self.log.oldest;
            return OwnershipEvent::LogExpired(Offset(self.log.oldest));
        }
        let entries = self.log.entries[node.next_offset as usize..].to_vec();
        node.next_offset = self.log.entries.len() as u64;
        OwnershipEvent::LogRead {
            entries,
            at_end: true,
        }
    }

    pub(super) fn append(
        &mut self,
        at: usize,
        incarnation: u64,
        id: quetzalrack_core::ids::RecordId,
        data: Vec<u8>,
    ) {
        let mut outcome = AppendOutcome::Unknown;
        if !self.log.down && !self.log_cuts.contains(&at) {
            outcome = AppendOutcome::Appended(self.log.append(data));
            if self.rng.random_range(0..100) < self.faults.answer_lost {
                outcome = AppendOutcome::Unknown;
            }
        }
        if self.nodes[at].incarnation == incarnation {
            self.schedule(2 * NANOS_PER_MS, at, Delivery::Appended { id, outcome });
        }
    }

    pub(super) fn step(&mut self, at: usize, event: OwnershipEvent) {
        let node = &mut self.nodes[at];
        let clock = node.clock(self.now);
        let Some(machine) = &mut node.machine else {
            return;
        };
        for action in machine.step(clock, event) {
            self.perform(at, action);
        }
    }

    pub(super) fn perform(&mut self, at: usize, action: OwnershipAction) {
        match action {
            OwnershipAction::Append { id, data } => {
                self.schedule(2 * NANOS_PER_MS, at, Delivery::Appending { id, data });
            }
            OwnershipAction::Send { to, message } => {
                let to = usize::from(to.port()) - 10_000;
                self.transmit(at, to, message);
            }
            OwnershipAction::GrantServer { slice, fence, .. } => {
                let delay = self.rng.random_range(1..3) * NANOS_PER_MS;
                self.schedule(delay, at, Delivery::Granted { slice, fence });
            }
            OwnershipAction::DrainSlice { slice, fence, .. } => {
                let delay = self.rng.random_range(5..30) * NANOS_PER_MS;
                self.schedule(delay, at, Delivery::Drained { slice, fence });
            }
            OwnershipAction::ForgetSlice { .. } => {}
            OwnershipAction::PublishLeases(leases) => {
                self.nodes[at].leases = leases;
                self.checker.check_node(self.now, &self.nodes, at);
            }
            OwnershipAction::PublishRouting(routing) => self.nodes[at].routing = routing,
            OwnershipAction::Explain(happening) => self.history.push((self.now, at, happening)),
            OwnershipAction::ShutdownComplete => self.nodes[at].finished = true,
        }
    }

    pub(super) fn transmit(
        &mut self,
        from: usize,
        to: usize,
        message: quetzalrack_core::ownership::PeerMessage,
    ) {
        if self.measures_bytes {
            let size = postcard::to_stdvec(&message).unwrap().len() as u64;
            self.nodes[from].sent.add(size);
            self.nodes[to].received.add(size);
        }
        if self.cuts.contains(&(from, to)) || self.chance(self.faults.lost) {
            return;
        }
        let copies = 1 + u32::from(self.chance(self.faults.duplicated));
        for _ in 0..copies {
            let mut delay = self.rng.random_range(1..=self.faults.delay_us);
            delay += self.slow.get(&(from, to)).copied().unwrap_or(0);
            if self.chance(self.faults.late) {
                delay += self.rng.random_range(0..=self.faults.late_us);
            }
            let message = Box::new(message.clone());
            let delivery = Delivery::Message { from, message };
            let delay = Duration::from_micros(delay).as_nanos() as u64;
            self.schedule(delay, to, delivery);
        }
    }

    pub(super) fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }
}
