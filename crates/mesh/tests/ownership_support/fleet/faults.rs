//! Injection of faults, and recovery from them.

use std::time::Duration;

use quetzalrack_core::time::Moment;
use quetzalrack_mesh::ownership::Event;
use rand::Rng;

use super::FaultKind;
use super::Fleet;
use super::Host;
use super::KEYED;
use super::Recovery;
use super::SimEvent;
use super::service;

impl Fleet {
    pub(super) fn inject_faults(&mut self) {
        let start = Moment(1_000_000_000);
        if self.now.since(start) > self.plan.fault_time {
            return;
        }
        let kinds = [
            FaultKind::Kills,
            FaultKind::Shutdowns,
            FaultKind::PowerLosses,
            FaultKind::Partitions,
            FaultKind::StoreFaults,
            FaultKind::Freezes,
        ];
        let kind = match self.plan.faults {
            FaultKind::All => kinds[self.random.random_range(0..kinds.len())],
            kind => kind,
        };
        // Several hosts at once, sometimes all of them.
        let host_count = match self.random.random_range(0..10) {
            0 => self.nodes.len(),
            1..=3 => self.nodes.len() / 2,
            _ => 1,
        };
        for _ in 0..host_count.max(1) {
            let index = self.random.random_range(0..self.nodes.len());
            self.inject(kind, index);
        }
        let delay = Duration::from_millis(300) + self.random_delay(3_000);
        self.schedule(delay, SimEvent::InjectFaults);
    }

    pub(super) fn inject(&mut self, kind: FaultKind, index: usize) {
        if self.trace {
            println!("{} {kind:?} at node-{index}", self.now);
        }
        match kind {
            FaultKind::Kills => {
                self.nodes[index].machine = None;
                self.nodes[index].deferred.clear();
                let delay = Duration::from_millis(100) + self.random_delay(1_500);
                self.schedule(delay, SimEvent::StartNode(index));
            }
            FaultKind::Shutdowns => {
                let incarnation = self.nodes[index].incarnation;
                self.step(
                    index,
                    incarnation,
                    Event::Shutdown,
                    SimEvent::ShutDown(index, incarnation),
                );
                let delay = Duration::from_millis(2_500) + self.random_delay(1_500);
                self.schedule(delay, SimEvent::ProcessEnded(index, incarnation));
            }
            FaultKind::PowerLosses => {
                // At least two servers that can hold keys are never lost permanently.
                let keyed = |(index, host): (usize, &Host)| !host.gone && service(index) == KEYED;
                let alive = self
                    .nodes
                    .iter()
                    .enumerate()
                    .filter(|host| keyed(*host))
                    .count();
                let host = &mut self.nodes[index];
                host.machine = None;
                host.deferred.clear();
                host.server = None;
                host.gone = host.gone || (alive > 2 && self.random.random_bool(0.15));
                let delay = Duration::from_millis(300) + self.random_delay(5_000);
                self.schedule(delay, SimEvent::StartServer(index));
                let delay = Duration::from_millis(300) + self.random_delay(5_000);
                self.schedule(delay, SimEvent::StartNode(index));
            }
            FaultKind::Partitions => {
                if self.random.random_bool(0.3) {
                    self.store_partitions.insert(index);
                    let delay = self.random_delay(12_000);
                    self.schedule(delay, SimEvent::Recover(Recovery::StoreLink(index)));
                }
                let one_way = self.random.random_bool(0.3);
                for other in 0..self.nodes.len() {
                    if other == index || self.random.random_bool(0.4) {
                        continue;
                    }
                    self.partitions.insert((index, other));
                    if !one_way {
                        self.partitions.insert((other, index));
                    }
                    let delay = self.random_delay(9_000);
                    self.schedule(delay, SimEvent::Recover(Recovery::Link(index, other)));
                }
            }
            FaultKind::StoreFaults => {
                if self.random.random_bool(0.5) {
                    self.store_down = true;
                    let delay = self.random_delay(12_000);
                    self.schedule(delay, SimEvent::Recover(Recovery::Store));
                } else {
                    self.store_loses_responses = true;
                    let delay = self.random_delay(6_000);
                    self.schedule(delay, SimEvent::Recover(Recovery::StoreResponses));
                }
            }
            FaultKind::Freezes => {
                if self.nodes[index].machine.is_some() {
                    self.nodes[index].frozen = true;
                    let delay = self.random_delay(6_000);
                    self.schedule(delay, SimEvent::Recover(Recovery::Resume(index)));
                }
            }
            FaultKind::NoFaults | FaultKind::All => {}
        }
    }

    pub(super) fn recover(&mut self, recovery: Recovery) {
        match recovery {
            Recovery::Resume(index) => {
                self.nodes[index].frozen = false;
                for event in std::mem::take(&mut self.nodes[index].deferred) {
                    self.schedule(Duration::ZERO, event);
                }
            }
            Recovery::Link(a, b) => {
                self.partitions.remove(&(a, b));
                self.partitions.remove(&(b, a));
            }
            Recovery::Store => {
                self.store_down = false;
                self.writes_are_silent = false;
            }
            Recovery::StoreLink(index) => {
                self.store_partitions.remove(&index);
            }
            Recovery::StoreResponses => self.store_loses_responses = false,
        }
    }
}
