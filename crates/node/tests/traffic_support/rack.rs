//! Nodes side by side, without a control thread.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::boundary::Clock;
use quetzalrack_core::cluster::Lease;
use quetzalrack_core::cluster::LeaseTable;
use quetzalrack_core::cluster::RoutingNode;
use quetzalrack_core::cluster::RoutingTable;
use quetzalrack_core::cluster::ServerState;
use quetzalrack_core::cluster::ServiceSlices;
use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::Incarnation;
use quetzalrack_core::ids::Rank;
use quetzalrack_core::ids::Sequence;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::ids::SliceId;
use quetzalrack_core::ids::SliceIndex;
use quetzalrack_core::ids::SlotCount;
use quetzalrack_core::ids::Term;
use quetzalrack_core::traffic::balancing::BalancingPolicy;
use quetzalrack_node::platform::BootClock;
use quetzalrack_node::shared::Handover;
use quetzalrack_node::shared::TrafficControl;

use super::eventually;
use super::rack_node::RackNode;
use super::rack_node::start_node;

/// Some nodes of one service.
pub struct Rack {
    pub nodes: Vec<RackNode>,
    pub caller: reqwest::Client,
    service: ServiceName,
}

impl Rack {
    /// Starts `count` nodes of `service`, every slice held by the first one.
    pub async fn start(service: &str, count: usize, work: Duration) -> Self {
        Self::start_with(service, count, work, BalancingPolicy::Default, true).await
    }

    pub async fn start_with(
        service: &str,
        count: usize,
        work: Duration,
        choice: BalancingPolicy,
        hedging: bool,
    ) -> Self {
        let mut nodes = Vec::new();
        for index in 0..count {
            nodes.push(start_node(service, index, work, choice, hedging).await);
        }
        let rack = Self {
            nodes,
            caller: reqwest::Client::builder().no_proxy().build().unwrap(),
            service: service.parse().unwrap(),
        };
        rack.publish(1);
        rack.give_slices(0, 1, 60_000);
        for node in &rack.nodes {
            let traffic = &node.traffic;
            eventually("ready", || traffic.stats().limit >= SlotCount(2)).await;
        }
        rack
    }

    /// Publishes the routing table, with all slices at the first node.
    pub fn publish(&self, version: u64) {
        self.publish_owner(version, Some(0));
    }

    pub fn publish_owner(&self, version: u64, owner: Option<usize>) {
        let mut table = RoutingTable::default();
        table.version.count = version;
        for node in &self.nodes {
            table.nodes.insert(
                node.member.node.clone(),
                RoutingNode {
                    member: node.member.clone(),
                    in_service: true,
                    state: ServerState::Warm,
                    limit: SlotCount(2),
                    in_flight: SlotCount(0),
                    latency_us: 0,
                },
            );
        }
        let owners: BTreeMap<_, _> = (0..4)
            .filter_map(|index| {
                let owner = self.nodes.get(owner?)?;
                Some((SliceIndex(index), owner.member.node.clone()))
            })
            .collect();
        let slices = ServiceSlices {
            count: 4,
            hot: BTreeMap::new(),
            owners,
        };
        table.services.insert(self.service.clone(), slices);
        let table = Arc::new(table);
        for node in &self.nodes {
            node.view.routing.store(Arc::clone(&table));
        }
    }

    /// Grants every slice to one node, as a fresh grant without a handover.
    pub fn give_slices(&self, node: usize, sequence: u64, lease_ms: u64) {
        let deadline = BootClock.now() + Duration::from_millis(lease_ms);
        let mut table = LeaseTable::default();
        for index in 0..4 {
            let slice = self.slice(index);
            self.nodes[node]
                .traffic
                .prepare_slice(&slice, fence(sequence), None);
            table.leases.insert(
                slice,
                Lease {
                    fence: fence(sequence),
                    deadline,
                    admits: true,
                },
            );
        }
        self.nodes[node].view.leases.store(Arc::new(table));
    }

    /// Drains a slice at a node and returns the memory that it sends to its successor.
    pub async fn hand_over(&self, node: usize, slice: &SliceId, sequence: u64) -> Handover {
        let from = &self.nodes[node];
        let to = &self.nodes[(node + 1) % self.nodes.len()].member;
        from.traffic
            .drain_slice(slice, fence(sequence), Some(to))
            .await;
        from.handovers.sent.lock().unwrap().pop().unwrap()
    }

    /// Makes the fence of a grant.
    pub fn fence(&self, sequence: u64) -> Fence {
        fence(sequence)
    }

    pub fn slice(&self, index: u32) -> SliceId {
        SliceId {
            service: self.service.clone(),
            index: SliceIndex(index),
        }
    }

    pub fn url(&self, node: usize, path: &str) -> String {
        format!("http://{}{path}", self.nodes[node].traffic.address())
    }

    pub async fn get(&self, node: usize, path: &str) -> reqwest::Response {
        self.caller.get(self.url(node, path)).send().await.unwrap()
    }

    pub async fn order(&self, node: usize, path: &str, key: &str, body: &str) -> reqwest::Response {
        self.caller
            .post(self.url(node, path))
            .header("idempotency-key", key)
            .body(body.to_owned())
            .send()
            .await
            .unwrap()
    }

    /// Waits until a key made now is newer than the grants, which a gate must know.
    pub async fn gates_ready(&self) {
        tokio::time::sleep(Duration::from_millis(1_050)).await;
    }

    /// Brings every node's limit up to its slots.
    pub async fn warm(&self) {
        // Only the first node has slices, so only its backend server gets work of a divided service.
        let count = match self.service.as_str() {
            "proofs" => 1,
            _ => self.nodes.len(),
        };
        for (index, node) in self.nodes.iter().enumerate().take(count) {
            let end = tokio::time::Instant::now() + Duration::from_secs(10);
            while node.traffic.stats().limit < SlotCount(8) {
                assert!(tokio::time::Instant::now() < end, "node {index} never warm");
                let calls = (0..16).map(|n| {
                    let path = match self.service.as_str() {
                        "proofs" => format!("/proofs/w{n}"),
                        _ => format!("/orders/w{n}"),
                    };
                    async move { self.get(index, &path).await.bytes().await }
                });
                futures::future::join_all(calls).await;
            }
        }
    }
}

impl RackNode {
    /// Announces the backend server, in a new life if the number differs.
    pub fn announce(&self, life: u64, state: ServerState) {
        let mut announcement = self.announcement.clone();
        announcement.incarnation = Incarnation(life);
        announcement.state = state;
        self.view.announcement.store(Some(Arc::new(announcement)));
    }
}

/// Makes the fence of a grant.
pub fn fence(sequence: u64) -> Fence {
    Fence {
        term: Term(1),
        rank: Rank(0),
        sequence: Sequence(sequence),
    }
}
