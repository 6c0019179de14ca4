//! A simulated host.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use quetzalrack_core::cluster::LeaseTable;
use quetzalrack_core::cluster::Member;
use quetzalrack_core::cluster::RoutingTable;
use quetzalrack_core::ids::Incarnation;
use quetzalrack_core::ownership::Ownership;
use quetzalrack_core::time::Moment;

use super::Delivery;
use super::Layout;
use super::TrafficCount;

/// Is one host with its node, its clock and its backend server.
pub struct FakeNode {
    pub number: usize,
    pub machine: Option<Ownership>,
    pub incarnation: u64,
    pub paused_until: u64,
    /// Events that arrived while the node was paused.
    pub deferred: VecDeque<Delivery>,
    pub clock_offset: u64,
    /// How much faster than true time the clock runs, in parts per million.
    pub drift_ppm: i64,
    pub next_offset: u64,
    pub leases: Arc<LeaseTable>,
    pub routing: Arc<RoutingTable>,
    pub has_server: bool,
    pub finished: bool,
    pub sent: TrafficCount,
    pub received: TrafficCount,
}

impl FakeNode {
    pub fn new(number: usize, clock_offset: u64, drift_ppm: i64) -> Self {
        Self {
            number,
            machine: None,
            incarnation: 0,
            paused_until: 0,
            deferred: VecDeque::new(),
            clock_offset,
            drift_ppm,
            next_offset: 0,
            leases: Arc::default(),
            routing: Arc::default(),
            has_server: true,
            finished: false,
            sent: TrafficCount::default(),
            received: TrafficCount::default(),
        }
    }

    /// Reads this host's clock.
    pub fn clock(&self, now: u64) -> Moment {
        let drift = now as i64 / 1_000_000 * self.drift_ppm;
        Moment(self.clock_offset + now.saturating_add_signed(drift))
    }

    pub fn address(number: usize) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], 10_000 + number as u16))
    }

    pub fn member(&self, layout: &Layout) -> Member {
        let address = Self::address(self.number);
        Member {
            node: format!("node-{}", self.number).parse().unwrap(),
            incarnation: Incarnation(self.incarnation),
            zone: Layout::zone_name(layout.zone_of(self.number)),
            server: None,
            service: None,
            traffic: address,
            heartbeat: address,
            control: address,
            admin: address,
        }
    }

    pub fn is_running(&self, now: u64) -> bool {
        self.machine.is_some() && self.paused_until <= now
    }
}
