//! The departures of all nodes' servers, as the leader knows them.

use std::collections::BTreeMap;
use std::time::Duration;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;

use super::leader_machine::Leader;
use crate::ownership::LeaderRecord;
use crate::ownership::NodeHeartbeat;
use crate::ownership::ServerDeparture;

/// How long a departure is kept: heartbeats arrive seconds late, and a server that has left stays for some
/// seconds.
const RETENTION: Duration = Duration::from_secs(60);
/// How many departures are kept. The record of a fleet of the largest size stays below what the store takes.
const MAX_KEPT: usize = 1_024;

/// The newest departure at each node.
#[derive(Clone, Debug, Default)]
pub(super) struct DepartureTable {
    entries: BTreeMap<NodeName, Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    departure: ServerDeparture,
    learned_at: Moment,
}

impl DepartureTable {
    /// Creates the table of a leader that takes over with a record.
    pub(super) fn from_record(now: Moment, record: &LeaderRecord) -> Self {
        let mut table = Self::default();
        for departure in &record.departures {
            table.record(now, departure);
        }
        table
    }

    /// Records a departure that a node reports.
    fn record(&mut self, now: Moment, departure: &ServerDeparture) {
        let known = self.entries.get(&departure.node);
        if known.is_some_and(|known| known.departure.covers(departure)) {
            return;
        }
        let entry = Entry {
            departure: departure.clone(),
            learned_at: now,
        };
        self.entries.insert(departure.node.clone(), entry);
        if self.entries.len() > MAX_KEPT {
            let oldest = self
                .entries
                .iter()
                .min_by_key(|(_, entry)| entry.learned_at);
            let oldest = oldest.map(|(node, _)| node.clone());
            oldest.and_then(|node| self.entries.remove(&node));
        }
    }

    /// Drops what has been kept long enough, and returns the rest in the order of the nodes.
    pub(super) fn retained(&mut self, now: Moment) -> Vec<ServerDeparture> {
        self.entries
            .retain(|_, entry| now.since(entry.learned_at) < RETENTION);
        let kept = self.entries.values();
        kept.map(|entry| entry.departure.clone()).collect()
    }

    fn of(&self, node: &NodeName) -> Option<&ServerDeparture> {
        self.entries.get(node).map(|entry| &entry.departure)
    }

    fn iter(&self) -> impl Iterator<Item = &ServerDeparture> {
        self.entries.values().map(|entry| &entry.departure)
    }
}

impl Leader {
    /// Records the departures that a heartbeat reports.
    pub(super) fn record_departures(&mut self, now: Moment, heartbeat: &NodeHeartbeat) {
        for departure in &heartbeat.departures {
            self.departures.record(now, departure);
        }
    }

    /// Tells whether some departure is not in the store yet.
    pub(super) fn has_unstored_departures(&self) -> bool {
        self.departures.iter().any(|known| !self.is_stored(known))
    }

    /// Tells whether the departure of a node's server is not in the store yet.
    pub(super) fn has_unstored_departure(&self, node: &NodeName) -> bool {
        let known = self.departures.of(node);
        known.is_some_and(|known| !self.is_stored(known))
    }

    /// Replaces the record by one that the store has, and asks the nodes whose servers' departures it adds for
    /// a heartbeat, whose reply tells them.
    pub(super) fn adopt_stored(&mut self, record: LeaderRecord) {
        let is_new = |departure: &&ServerDeparture| {
            let known = self.record.departure_of(&departure.node);
            known != Some(departure)
        };
        let added = record.departures.iter().filter(is_new);
        let nodes: Vec<NodeName> = added.map(|departure| departure.node.clone()).collect();
        self.heartbeat_requests.extend(nodes);
        self.record = record;
    }

    fn is_stored(&self, departure: &ServerDeparture) -> bool {
        let stored = self.record.departure_of(&departure.node);
        stored.is_some_and(|stored| stored.covers(departure))
    }
}
