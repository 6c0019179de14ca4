//! Granting free ranges, and taking them from servers that leave.

use std::time::Duration;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::time::Moment;

use super::leader_machine::Leader;
use super::leveling::RecentMove;
use super::peer::Peer;
use super::row::Freedom;
use super::row::RowState;
use super::row::Tenure;
use crate::model::Handover;
use crate::model::KeyRange;
use crate::ownership::LeaseTimes;
use crate::placement::share_out;

/// How long the servers of a service must stay the same before its keys are first shared out: a
/// fleet starts within half a second, and what is granted too early must move at once.
const GATHER: Duration = Duration::from_millis(1_500);
/// The longest wait for that.
const GATHER_MOST: Duration = Duration::from_secs(4);
/// Follows when a service's keys were moved.
#[derive(Clone, Debug)]
pub(super) struct MoveClock {
    opened: Moment,
    servers: Vec<NodeName>,
    servers_since: Moment,
    pub(super) leveled: Moment,
    pub(super) moves: Vec<RecentMove>,
}

impl Leader {
    /// Grants what is free, takes keys from servers that leave, and levels the load.
    pub(super) fn place(&mut self, now: Moment) {
        let services: Vec<ServiceName> = self.ledgers.keys().cloned().collect();
        for service in services {
            self.note_servers(now, &service);
            if self.takeover.is_none() && self.record.takeover_complete {
                self.place_service(now, &service);
            }
        }
    }

    /// Follows since when the servers of a service are the same, also while a takeover goes on.
    fn note_servers(&mut self, now: Moment, service: &ServiceName) {
        let servers = self.servers(now, service);
        let clock = self
            .clocks
            .entry(service.clone())
            .or_insert_with(|| MoveClock {
                opened: now,
                servers: Vec::new(),
                servers_since: now,
                leveled: now,
                moves: Vec::new(),
            });
        if clock.servers != servers {
            clock.servers = servers;
            clock.servers_since = now;
        }
    }

    fn place_service(&mut self, now: Moment, service: &ServiceName) {
        // Only recorded nodes may hold keys: a later leader asks just these.
        let mut targets = self.servers(now, service);
        targets.retain(|node| self.may_hold(node));
        let gathered = self.clocks.get(service).is_some_and(|clock| {
            now.since(clock.servers_since) >= GATHER || now.since(clock.opened) >= GATHER_MOST
        });
        if targets.is_empty() {
            return;
        }
        self.empty_leaving(now, service, &targets);
        let started = self
            .ledgers
            .get(service)
            .is_some_and(|ledger| ledger.rows().iter().any(|row| row.state.tenure().is_some()));
        if started || gathered {
            self.grant_free(now, service, &targets);
            self.level(now, service, &targets);
        }
    }

    /// Returns the nodes whose servers can take keys of a service.
    fn servers(&self, now: Moment, service: &ServiceName) -> Vec<NodeName> {
        let usable = |peer: &Peer| {
            let member = &peer.member;
            let server = member.server.as_ref();
            let open = server.is_some_and(|server| server.is_grantable() && !server.draining);
            let evacuated = self.intent.evacuated.contains(&member.zone);
            member.service == *service
                && open
                && !evacuated
                && !member.leaving
                && peer.is_heard(now)
        };
        let usable = self.peers.iter().filter(|(_, peer)| usable(peer));
        usable.map(|(node, _)| node.clone()).collect()
    }

    /// Takes keys from servers that leave or whose zone is emptied.
    fn empty_leaving(&mut self, now: Moment, service: &ServiceName, targets: &[NodeName]) {
        let Some(ledger) = self.ledgers.get_mut(service) else {
            return;
        };
        for row in ledger.rows_mut() {
            let RowState::Held(tenure) = &row.state else {
                continue;
            };
            let peer = self.peers.get(&tenure.node);
            let leaves = peer.is_some_and(|peer| {
                let server = peer.member.server.as_ref();
                server.is_some_and(|server| server.draining)
                    || self.intent.evacuated.contains(&peer.member.zone)
            });
            if leaves && !targets.contains(&tenure.node) {
                row.state = RowState::leaving(now, tenure);
            }
        }
    }

    fn grant_free(&mut self, now: Moment, service: &ServiceName, targets: &[NodeName]) {
        let confirmed = self.authority.confirmed(&self.times);
        let Some(ledger) = self.ledgers.get(service) else {
            return;
        };
        let free: Vec<(KeyRange, Freedom)> = ledger
            .rows()
            .iter()
            .filter_map(|row| match &row.state {
                RowState::Free(freedom) => Some((row.keys, freedom.clone())),
                _ => None,
            })
            .filter(|(_, freedom)| freedom.lapsed.is_none_or(|lapsed| confirmed > lapsed))
            .collect();
        let meant = |freedom: &Freedom| freedom.to.clone().filter(|to| targets.contains(to));
        let (moved, left): (Vec<_>, Vec<_>) = free
            .into_iter()
            .partition(|(_, freedom)| meant(freedom).is_some());
        for (keys, freedom) in moved {
            if let Some(node) = meant(&freedom) {
                self.grant(now, service, keys, &node, freedom.handover);
            }
        }
        if left.is_empty() {
            return;
        }
        let candidates = self.candidates(service, targets);
        let keys: Vec<KeyRange> = left.iter().map(|(keys, _)| *keys).collect();
        for (place, keys, target) in share_out(&keys, &candidates) {
            let handover = left
                .get(place)
                .and_then(|(_, freedom)| freedom.handover.clone());
            if let Some(node) = targets.get(target) {
                self.grant(now, service, keys, node, handover);
            }
        }
    }

    fn grant(
        &mut self,
        now: Moment,
        service: &ServiceName,
        keys: KeyRange,
        node: &NodeName,
        handover: Option<Handover>,
    ) {
        let server = self
            .peers
            .get(node)
            .and_then(|peer| peer.member.server.as_ref());
        let Some(server) = server.map(|server| server.incarnation.clone()) else {
            return;
        };
        self.fence = self.fence.next();
        let detail = format!("{service} {keys} to {node}, token {}", self.fence);
        self.notes.push(("keys_granted", detail));
        self.prompted.insert(node.clone());
        let tenure = Tenure {
            node: node.clone(),
            server: Some(server),
            fence: self.fence,
            handover,
            until: now + LeaseTimes::plus_clock_drift(self.authority.left(now, &self.times)),
        };
        if let Some(ledger) = self.ledgers.get_mut(service) {
            ledger.set(keys, RowState::Held(tenure));
        }
    }
}
