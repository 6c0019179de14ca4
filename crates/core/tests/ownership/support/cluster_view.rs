//! What a test sees of the fakes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use quetzalrack_core::explain::Happening;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::ids::SliceId;
use quetzalrack_core::ownership::PeerMessage;
use quetzalrack_core::ownership::record::ControlBody;
use quetzalrack_core::ownership::record::ControlRecord;

use super::Cluster;
use super::Delivery;
use super::FakeNode;
use super::cluster::MILLISECOND;

impl Cluster {
    /// Runs until every slice has a holder, and returns how long that took in milliseconds.
    pub fn run_until_served(&mut self, limit_ms: u64) -> u64 {
        let begin = self.now;
        while self.unserved().next().is_some() {
            let spent = (self.now - begin) / MILLISECOND;
            assert!(
                spent < limit_ms,
                "still unserved: {:?}",
                self.unserved().collect::<Vec<_>>()
            );
            self.run(5);
        }
        (self.now - begin) / MILLISECOND
    }

    /// Runs for a span and returns the longest time that each slice had no holder, in
    /// milliseconds.
    pub fn longest_gaps(&mut self, span_ms: u64) -> BTreeMap<SliceId, u64> {
        const SAMPLE_MS: u64 = 5;
        let mut gaps: BTreeMap<SliceId, (u64, u64)> = BTreeMap::new();
        for _ in 0..span_ms / SAMPLE_MS {
            self.run(SAMPLE_MS);
            for (slice, owner) in self.owners() {
                let (running, longest) = gaps.entry(slice).or_default();
                *running = if owner.is_none() {
                    *running + SAMPLE_MS
                } else {
                    0
                };
                *longest = (*longest).max(*running);
            }
        }
        gaps.into_iter()
            .map(|(slice, (_, longest))| (slice, longest))
            .collect()
    }

    /// Returns the numbers of slices by which nodes divide the keys of the first service.
    pub fn divisions(&self) -> BTreeSet<u32> {
        let service: ServiceName = "service-0".parse().unwrap();
        let counts = self.nodes.iter().filter_map(|node| {
            let slices = node.routing.services.get(&service);
            slices.map(|slices| slices.count)
        });
        counts.collect()
    }

    pub fn unserved(&self) -> impl Iterator<Item = SliceId> + '_ {
        let unserved = self
            .slices
            .iter()
            .filter(|slice| self.owner(slice).is_none());
        unserved.cloned()
    }

    /// Returns the node that could send work of a slice now.
    pub fn owner(&self, slice: &SliceId) -> Option<usize> {
        let owns = |node: &&FakeNode| {
            let lease = node.leases.leases.get(slice);
            let valid = lease.is_some_and(|lease| lease.is_valid(node.clock(self.now)));
            node.is_running(self.now) && valid
        };
        self.nodes.iter().find(owns).map(|node| node.number)
    }

    pub fn owners(&self) -> BTreeMap<SliceId, Option<usize>> {
        let owned = |slice: &SliceId| (slice.clone(), self.owner(slice));
        self.slices.iter().map(owned).collect()
    }

    /// Returns the node that was last established as controller, and still lives.
    pub fn controller(&self) -> Option<usize> {
        let established = self.history.iter().rev().find_map(|(_, at, happening)| {
            matches!(happening, Happening::ControllerEstablished { .. }).then_some(*at)
        });
        established.filter(|at| self.nodes[*at].machine.is_some())
    }

    /// Tells whether an answer to a node's probe is on its way.
    pub fn is_echo_underway(&self, to: usize) -> bool {
        self.queue.values().any(|(at, _, delivery)| {
            let Delivery::Message { message, .. } = delivery else {
                return false;
            };
            *at == to && matches!(**message, PeerMessage::Echo(_))
        })
    }

    /// Returns which running nodes are not in service by the table of which running node.
    pub fn unlisted(&self) -> Vec<(usize, usize)> {
        let running = || self.nodes.iter().filter(|node| node.is_running(self.now));
        let pairs = running().flat_map(|one| running().map(move |other| (one, other)));
        let lacks = |(one, other): &(&FakeNode, &FakeNode)| {
            let name = other.member(&self.layout).node;
            let listed = one.routing.nodes.get(&name);
            listed.is_none_or(|listed| !listed.in_service)
        };
        pairs
            .filter(lacks)
            .map(|(one, other)| (one.number, other.number))
            .collect()
    }

    /// Returns the controller that a node adopted last.
    pub fn followed_by(&self, node: usize) -> usize {
        let adopted = self
            .history
            .iter()
            .rev()
            .find_map(|(_, at, happening)| match happening {
                Happening::ControllerAdopted { controller, .. } if *at == node => Some(controller),
                _ => None,
            });
        let name = adopted.unwrap().as_str();
        name.trim_start_matches("node-").parse().unwrap()
    }

    /// Returns the deputies of the term in force, in order, the controller first.
    pub fn line(&self) -> Vec<usize> {
        let claims = self.log.entries.iter().filter_map(|entry| {
            let record: ControlRecord = serde_json::from_slice(&entry.data).unwrap();
            match record.body {
                ControlBody::Claim(claim) => Some(claim),
                _ => None,
            }
        });
        // Of two claims of one term the first wins.
        let newest = claims.rev().max_by_key(|claim| claim.term).unwrap();
        let number = |address: std::net::SocketAddr| usize::from(address.port()) - 10_000;
        newest
            .controllers
            .iter()
            .map(|member| number(member.heartbeat))
            .collect()
    }
}
