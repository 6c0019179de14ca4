//! The departures of backend servers that a node knows of.

use std::collections::VecDeque;
use std::time::Duration;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;

use super::DepartureState;
use super::ServerDeparture;
use crate::model::ServerIncarnation;

/// How long a departure at another node is kept: heartbeats arrive seconds late, and a server that has left
/// stays for some seconds.
const RETENTION: Duration = Duration::from_secs(60);
/// How many departures are kept.
const MAX_KEPT: usize = 1_024;
/// How many departures one message carries; more would not fit into a datagram of usual size.
const MAX_SENT: usize = 16;
/// How many heartbeats without a reply are remembered.
const MAX_REPORTS: usize = 16;

/// Keeps departures of all nodes' servers, and which of them other processes have.
///
/// A node reports to its leader what the leader lacks, and the leader passes everything on with its replies.
#[derive(Clone, Debug)]
pub(super) struct DepartureLog {
    own: NodeName,
    /// In the order in which this process learned of them.
    entries: VecDeque<Entry>,
    last_index: u64,
    /// The leader's index up to which this node has the leader's entries.
    leader_index: u64,
    /// The newest heartbeats to the leader, with the indexes of the entries that they reported.
    reports: VecDeque<(u64, Vec<u64>)>,
}

#[derive(Clone, Debug)]
struct Entry {
    index: u64,
    departure: ServerDeparture,
    learned_at: Moment,
    /// Whether another process has it too.
    witnessed: bool,
    /// Whether the leader of this epoch has it.
    at_leader: bool,
}

impl DepartureLog {
    /// Creates the empty log of a node.
    pub(super) fn new(own: NodeName) -> Self {
        Self {
            own,
            entries: VecDeque::new(),
            last_index: 0,
            leader_index: 0,
            reports: VecDeque::new(),
        }
    }

    /// Records a departure that the server beside this node announced; returns whether it is new.
    pub(super) fn record_own(&mut self, now: Moment, departure: ServerDeparture) -> bool {
        self.insert(now, departure, false)
    }

    /// Records departures that another process told; returns whether one of this node is new.
    pub(super) fn record_told(&mut self, now: Moment, told: &[ServerDeparture]) -> bool {
        let mut concerns_own = false;
        for departure in told {
            let is_new = self.insert(now, departure.clone(), true);
            concerns_own |= is_new && departure.node == self.own;
            if let Some(entry) = self.entry_mut(&departure.node, &departure.incarnation)
                && entry.departure.state == departure.state
            {
                entry.witnessed = true;
            }
        }
        concerns_own
    }

    /// Returns the state of an incarnation's departure, if it is known to leave.
    pub(super) fn state(
        &self,
        node: &NodeName,
        incarnation: &ServerIncarnation,
    ) -> Option<DepartureState> {
        let mut newest_first = self.entries.iter().rev();
        newest_first
            .find(|entry| entry.is_of(node, incarnation))
            .map(|entry| entry.departure.state)
    }

    /// Tells whether a departure is known to another process, which still knows it when this one has ended.
    pub(super) fn is_witnessed(&self, node: &NodeName, incarnation: &ServerIncarnation) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|entry| entry.is_of(node, incarnation) && entry.witnessed)
    }

    /// Tells whether some departure is known to this process alone.
    pub(super) fn has_unwitnessed(&self) -> bool {
        self.entries.iter().any(|entry| !entry.witnessed)
    }

    /// Starts over with another leader, which may know less than the one before.
    pub(super) fn start_epoch(&mut self) {
        self.leader_index = 0;
        self.reports.clear();
        for entry in &mut self.entries {
            entry.at_leader = false;
        }
    }

    /// Returns what the heartbeat `sequence` reports: the departures that the leader may lack, first those
    /// that no other process has.
    pub(super) fn report(&mut self, sequence: u64) -> Vec<ServerDeparture> {
        let mut lacking: Vec<&Entry> = self.entries.iter().filter(|e| !e.at_leader).collect();
        lacking.sort_by_key(|entry| entry.witnessed);
        lacking.truncate(MAX_SENT);
        if !lacking.is_empty() {
            if self.reports.len() == MAX_REPORTS {
                self.reports.pop_front();
            }
            let indexes = lacking.iter().map(|entry| entry.index).collect();
            self.reports.push_back((sequence, indexes));
        }
        lacking
            .into_iter()
            .map(|entry| entry.departure.clone())
            .collect()
    }

    /// Returns the leader's index up to which this node has the leader's entries.
    pub(super) fn leader_index(&self) -> u64 {
        self.leader_index
    }

    /// Applies the leader's reply to the heartbeat `sequence`: it has what that heartbeat reported, and what
    /// it tells. A leader's own replies to itself add no witness.
    pub(super) fn record_reply(
        &mut self,
        sequence: u64,
        told: &[ServerDeparture],
        index: u64,
        is_other: bool,
    ) {
        self.leader_index = index;
        let mut reports = self.reports.iter();
        let report = reports.rfind(|(number, _)| *number == sequence);
        let reported = report.map_or(&[][..], |(_, indexes)| indexes);
        for entry in &mut self.entries {
            if reported.contains(&entry.index) || told.contains(&entry.departure) {
                entry.at_leader = true;
                entry.witnessed |= is_other;
            }
        }
        self.reports.retain(|(number, _)| *number > sequence);
    }

    /// Returns the entries after an index that a node named, and the index up to which they reach.
    pub(super) fn since(&self, index: u64) -> (Vec<ServerDeparture>, u64) {
        let mut later = self.entries.iter().filter(|entry| entry.index > index);
        let sent: Vec<&Entry> = later.by_ref().take(MAX_SENT).collect();
        let reached = match (later.next(), sent.last()) {
            (Some(_), Some(last)) => last.index,
            _ => self.last_index,
        };
        let departures = sent.iter().map(|entry| entry.departure.clone()).collect();
        (departures, reached)
    }

    /// Records that another node has this leader's entries up to an index.
    pub(super) fn record_witness(&mut self, index: u64) {
        for entry in &mut self.entries {
            entry.witnessed |= entry.index <= index;
        }
    }

    fn insert(&mut self, now: Moment, departure: ServerDeparture, witnessed: bool) -> bool {
        let known = self.state(&departure.node, &departure.incarnation);
        if known.is_some_and(|known| known >= departure.state) {
            return false;
        }
        self.entries.retain(|entry| {
            let is_kept =
                entry.departure.node == self.own || now.since(entry.learned_at) < RETENTION;
            is_kept && !entry.is_of(&departure.node, &departure.incarnation)
        });
        if self.entries.len() == MAX_KEPT {
            self.entries.pop_front();
        }
        self.last_index += 1;
        self.entries.push_back(Entry {
            index: self.last_index,
            departure,
            learned_at: now,
            witnessed,
            at_leader: false,
        });
        true
    }

    fn entry_mut(
        &mut self,
        node: &NodeName,
        incarnation: &ServerIncarnation,
    ) -> Option<&mut Entry> {
        self.entries
            .iter_mut()
            .find(|entry| entry.is_of(node, incarnation))
    }
}

impl Entry {
    fn is_of(&self, node: &NodeName, incarnation: &ServerIncarnation) -> bool {
        self.departure.node == *node && self.departure.incarnation == *incarnation
    }
}
