//! What goes wrong, and when it is right again.

use std::time::Duration;

use quetzalrack_core::time::Moment;
use quetzalrack_mesh::ownership::Event;
use rand::Rng;

use super::Cure;
use super::Fleet;
use super::Happening;
use super::Host;
use super::KEYED;
use super::Trouble;
use super::service;

impl Fleet {
    pub(super) fn trouble(&mut self) {
        let start = Moment(1_000_000_000);
        if self.now.since(start) > self.plan.troubled {
            return;
        }
        let kinds = [
            Trouble::Kills,
            Trouble::Leaves,
            Trouble::Power,
            Trouble::Cuts,
            Trouble::Store,
            Trouble::Freezes,
        ];
        let kind = match self.plan.trouble {
            Trouble::Everything => kinds[self.random.random_range(0..kinds.len())],
            kind => kind,
        };
        // Several hosts at once, now and then all of them.
        let most = match self.random.random_range(0..10) {
            0 => self.nodes.len(),
            1..=3 => self.nodes.len() / 2,
            _ => 1,
        };
        for _ in 0..most.max(1) {
            let place = self.random.random_range(0..self.nodes.len());
            self.strike(kind, place);
        }
        let delay = Duration::from_millis(300) + self.spread(3_000);
        self.after(delay, Happening::Trouble);
    }

    pub(super) fn strike(&mut self, kind: Trouble, place: usize) {
        if self.traced {
            println!("{} {kind:?} strikes node-{place}", self.now);
        }
        match kind {
            Trouble::Kills => {
                self.nodes[place].machine = None;
                self.nodes[place].held_up.clear();
                let delay = Duration::from_millis(100) + self.spread(1_500);
                self.after(delay, Happening::StartNode(place));
            }
            Trouble::Leaves => {
                let life = self.nodes[place].life;
                self.step(place, life, Event::Shutdown, Happening::Leave(place, life));
                let delay = Duration::from_millis(2_500) + self.spread(1_500);
                self.after(delay, Happening::Gone(place, life));
            }
            Trouble::Power => {
                // Some servers that can hold keys are left in any case.
                let keyed = |(place, host): (usize, &Host)| !host.gone && service(place) == KEYED;
                let alive = self
                    .nodes
                    .iter()
                    .enumerate()
                    .filter(|host| keyed(*host))
                    .count();
                let host = &mut self.nodes[place];
                host.machine = None;
                host.held_up.clear();
                host.server = None;
                host.gone = host.gone || (alive > 2 && self.random.random_bool(0.15));
                let delay = Duration::from_millis(300) + self.spread(5_000);
                self.after(delay, Happening::StartServer(place));
                let delay = Duration::from_millis(300) + self.spread(5_000);
                self.after(delay, Happening::StartNode(place));
            }
            Trouble::Cuts => {
                if self.random.random_bool(0.3) {
                    self.store_cut.insert(place);
                    let delay = self.spread(12_000);
                    self.after(delay, Happening::Heal(Cure::StoreFor(place)));
                }
                let one_way = self.random.random_bool(0.3);
                for other in 0..self.nodes.len() {
                    if other == place || self.random.random_bool(0.4) {
                        continue;
                    }
                    self.cuts.insert((place, other));
                    if !one_way {
                        self.cuts.insert((other, place));
                    }
                    let delay = self.spread(9_000);
                    self.after(delay, Happening::Heal(Cure::Link(place, other)));
                }
            }
            Trouble::Store => {
                if self.random.random_bool(0.5) {
                    self.store_down = true;
                    let delay = self.spread(12_000);
                    self.after(delay, Happening::Heal(Cure::Store));
                } else {
                    self.store_lossy = true;
                    let delay = self.spread(6_000);
                    self.after(delay, Happening::Heal(Cure::StoreAnswers));
                }
            }
            Trouble::Freezes => {
                if self.nodes[place].machine.is_some() {
                    self.nodes[place].frozen = true;
                    let delay = self.spread(6_000);
                    self.after(delay, Happening::Heal(Cure::Thaw(place)));
                }
            }
            Trouble::Calm | Trouble::Everything => {}
        }
    }

    pub(super) fn heal(&mut self, cure: Cure) {
        match cure {
            Cure::Thaw(place) => {
                self.nodes[place].frozen = false;
                for happening in std::mem::take(&mut self.nodes[place].held_up) {
                    self.after(Duration::ZERO, happening);
                }
            }
            Cure::Link(a, b) => {
                self.cuts.remove(&(a, b));
                self.cuts.remove(&(b, a));
            }
            Cure::Store => self.store_down = false,
            Cure::StoreFor(place) => {
                self.store_cut.remove(&place);
            }
            Cure::StoreAnswers => self.store_lossy = false,
        }
    }
}
