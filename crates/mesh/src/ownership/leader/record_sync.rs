//! Keeps the leader's record in the store up to date.

use std::collections::BTreeSet;
use std::time::Duration;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;

use super::leader_machine::Leader;
use super::leader_machine::Peers;
use crate::boundary::AppendOutcome;
use crate::ownership::Action;
use crate::ownership::LeaderRead;
use crate::ownership::LeaderRecord;
use crate::ownership::Voter;

/// How long the set of voters must stay unchanged before it is written: nodes start together, and
/// each write costs a call.
const VOTERS_STABLE_TIME: Duration = Duration::from_millis(500);
/// How long a node may be silent and remain a voter.
const VOTER_TIMEOUT: Duration = Duration::from_secs(5);
/// The same for a node that announced its leaving and no longer has a backend server.
const LEFT_VOTER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The shortest time between two writes for departures: however many servers leave at once, the writes are few.
const DEPARTURES_PAUSE: Duration = Duration::from_millis(200);
/// The longest wait for a call to the store; the client gives up earlier.
const STORE_CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// The state of the calls to the leader's topic.
#[derive(Clone, Debug)]
pub(super) struct RecordSync {
    /// Where the topic ends, as far as known.
    topic_end: u64,
    last_write: Moment,
    /// When a record was last written to store departures.
    departures_written: Moment,
    /// The record of a write whose outcome is unknown.
    pending: Option<LeaderRecord>,
    /// When the outstanding read was sent.
    read_sent: Option<Moment>,
    /// When the outstanding write was sent, and where it requires the topic to end.
    write_sent: Option<(Moment, u64)>,
    last_read: Moment,
    last_contact: Moment,
    wanted_voters: Vec<Voter>,
    wanted_since: Moment,
    superseded: bool,
    /// Whether an earlier attempt of the pending write may still take effect.
    maybe_written: bool,
    /// Whether a read has shown the store without the pending write, which must then be sent again.
    needs_resend: bool,
}

impl RecordSync {
    pub(super) fn new(now: Moment, topic_end: u64) -> Self {
        Self {
            topic_end,
            last_write: now,
            departures_written: Moment::default(),
            pending: None,
            read_sent: None,
            write_sent: None,
            last_read: now,
            last_contact: Moment::default(),
            wanted_voters: Vec::new(),
            wanted_since: now,
            superseded: false,
            maybe_written: false,
            needs_resend: false,
        }
    }

    /// Creates the state of a leader whose record is not in the store yet.
    pub(super) fn unwritten(now: Moment, topic_end: u64) -> Self {
        Self {
            last_write: Moment::default(),
            ..Self::new(now, topic_end)
        }
    }

    /// Returns where the topic ends, as far as known.
    pub(super) fn topic_end(&self) -> u64 {
        self.topic_end
    }

    /// Tells whether the outcome of a write is unknown.
    pub(super) fn has_pending_write(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns the newest confirmation time that a majority of the voters has reached. While a
    /// change of the voters is in flight, a later leader may read either set, so both must have a
    /// majority.
    pub(super) fn majority_confirmed_at(
        &self,
        record: &LeaderRecord,
        peers: &Peers,
    ) -> Option<Moment> {
        let confirmed_at = majority_confirmed_at(record, peers)?;
        match &self.pending {
            Some(pending) => Some(confirmed_at.min(majority_confirmed_at(pending, peers)?)),
            None => Some(confirmed_at),
        }
    }

    /// Tells whether no pending record requires a majority.
    pub(super) fn allows_store_alone(&self) -> bool {
        self.pending
            .as_ref()
            .is_none_or(|pending| pending.store_suffices)
    }

    /// Tells whether silent nodes are to be contacted again, and if so restarts the pause.
    pub(super) fn is_contact_due(&mut self, now: Moment, pause: Duration) -> bool {
        let due = now.since(self.last_contact) >= pause;
        if due {
            self.last_contact = now;
        }
        due
    }
}

impl Leader {
    /// Tells whether a later claim is in the store.
    pub(in crate::ownership) fn is_superseded(&self) -> bool {
        self.record_sync.superseded
    }

    /// Confirms the leadership at the store, and writes the record when it has changed.
    pub(super) fn sync_record(&mut self, now: Moment, actions: &mut Vec<Action>) {
        let wanted = self.wanted_voters(now);
        // When the lack of a majority has lasted long enough to suspect that it is lost, most of a
        // lease is left to write this to the store.
        let store_suffices = match self.record.store_suffices {
            true => !self.authority.can_require_majority(now, &self.times),
            false => !self.authority.has_majority(now, &self.times),
        };
        let has_departures = self.has_unstored_departures();
        let sync = &mut self.record_sync;
        let open = |sent: Moment| now.since(sent) < STORE_CALL_TIMEOUT;
        if sync.read_sent.is_some_and(open) || sync.write_sent.is_some_and(|(sent, _)| open(sent)) {
            return;
        }
        if wanted != sync.wanted_voters {
            sync.wanted_voters = wanted;
            sync.wanted_since = now;
        }
        let changed = sync.wanted_voters != self.record.voters
            || !self.record.takeover_complete
            || store_suffices != self.record.store_suffices;
        let stable = now.since(sync.wanted_since) >= VOTERS_STABLE_TIME;
        let urgent = store_suffices && !self.record.store_suffices;
        let due = (changed && stable)
            || urgent
            || now.since(sync.last_write) >= self.times.refresh_interval;
        let is_complete = self.takeover.is_none();
        let due = is_complete && due;
        let departures_due =
            has_departures && now.since(sync.departures_written) >= DEPARTURES_PAUSE;
        if let Some(record) = sync.pending.clone().filter(|_| sync.needs_resend) {
            // Both attempts require the same end of the topic, so at most one takes effect.
            sync.needs_resend = false;
            let topic_end = sync.topic_end;
            sync.write_sent = Some((now, topic_end));
            actions.push(Action::WriteLeader { topic_end, record });
        } else if sync.pending.is_none() && (due || departures_due) {
            // Until all keys are accounted for, the next leader needs the voters as they were.
            let record = match is_complete {
                true => LeaderRecord {
                    voters: match stable {
                        true => sync.wanted_voters.clone(),
                        false => self.record.voters.clone(),
                    },
                    takeover_complete: true,
                    store_suffices,
                    ..self.record.clone()
                },
                false => self.record.clone(),
            };
            let record = LeaderRecord {
                departures: self.departures.retained(now),
                ..record
            };
            let topic_end = sync.topic_end;
            sync.write_sent = Some((now, topic_end));
            sync.last_write = now;
            if departures_due {
                sync.departures_written = now;
            }
            sync.pending = Some(record.clone());
            actions.push(Action::WriteLeader { topic_end, record });
        } else if now.since(sync.last_read) >= self.times.verify_interval {
            sync.read_sent = Some(now);
            sync.last_read = now;
            actions.push(Action::ReadLeader);
        }
    }

    /// Tells whether the next leader will find a node among the voters, whichever of this leader's
    /// records it reads.
    pub(super) fn is_durable_voter(&self, node: &NodeName) -> bool {
        let pending = self.record_sync.pending.as_ref();
        self.record.has_voter(node) && pending.is_none_or(|pending| pending.has_voter(node))
    }

    /// Returns the nodes that sent a heartbeat recently, and those whose servers may hold keys.
    ///
    /// A leader that just took over by handoff has not yet received heartbeats from all of them. If
    /// it left out a silent node that holds keys, the next leader would not ask that node, and
    /// would grant its keys to another.
    fn wanted_voters(&self, now: Moment) -> Vec<Voter> {
        let mut wanted = voters(now, &self.peers);
        let entries = self
            .range_maps
            .values()
            .flat_map(|range_map| range_map.entries());
        let holders: BTreeSet<&NodeName> = entries
            .filter_map(|entry| entry.state.lease().map(|lease| &lease.node))
            .collect();
        let silent = self.record.voters.iter().filter(|voter| {
            holders.contains(&voter.node) && wanted.iter().all(|listed| listed.node != voter.node)
        });
        let silent: Vec<Voter> = silent.cloned().collect();
        wanted.extend(silent);
        wanted.sort();
        wanted
    }

    /// Handles the outcome of a write.
    pub(in crate::ownership) fn handle_write(&mut self, outcome: AppendOutcome) {
        let write_sent = self.record_sync.write_sent.take();
        match outcome {
            AppendOutcome::Appended => {
                // A read may have shown this record before the result of the write arrived.
                if let Some((sent, topic_end)) = write_sent {
                    self.record_sync.topic_end = self.record_sync.topic_end.max(topic_end + 1);
                    self.authority.confirm_by_store(sent);
                }
                self.record_sync.maybe_written = false;
                if let Some(record) = self.record_sync.pending.take() {
                    self.adopt_stored(record);
                }
            }
            AppendOutcome::Refused if self.record_sync.maybe_written => {
                self.record_sync.needs_resend = true
            }
            AppendOutcome::Refused => self.record_sync.pending = None,
            // Another node's claim, or an earlier write of this leader that took effect late: the
            // next read decides.
            AppendOutcome::Superseded => self.record_sync.last_read = Moment::default(),
            AppendOutcome::Unknown => {
                self.record_sync.maybe_written = true;
                self.record_sync.last_read = Moment::default();
            }
        }
    }

    /// Handles the result of a read that was sent at `sent_at`.
    pub(in crate::ownership) fn handle_read(&mut self, sent_at: Moment, read: LeaderRead) {
        self.record_sync.read_sent = None;
        let LeaderRead::Newest(record, topic_end) = read else {
            return;
        };
        match record {
            Some(record)
                if record.epoch == self.record.epoch && record.leader == self.own_incarnation =>
            {
                self.authority.confirm_by_store(sent_at);
                // A write whose result was lost may still take effect as long as the topic ends
                // where the write requires. Once the topic is longer, this record is the outcome.
                if topic_end > self.record_sync.topic_end {
                    self.record_sync.topic_end = topic_end;
                    self.adopt_stored(record);
                    self.record_sync.pending = None;
                    self.record_sync.maybe_written = false;
                }
                self.record_sync.needs_resend = self.record_sync.pending.is_some();
            }
            // The leadership was handed over, and its record is still to be written.
            Some(record) if record.epoch < self.record.epoch => {
                self.authority.confirm_by_store(sent_at);
                self.record_sync.needs_resend = self.record_sync.pending.is_some();
            }
            _ => self.record_sync.superseded = true,
        }
    }
}

fn voters(now: Moment, peers: &Peers) -> Vec<Voter> {
    let active = peers.values().filter(|peer| {
        let has_left = peer.member.leaving && peer.member.server.is_none();
        let timeout = if has_left {
            LEFT_VOTER_TIMEOUT
        } else {
            VOTER_TIMEOUT
        };
        peer.last_heartbeat
            .is_some_and(|at| now.since(at) < timeout)
    });
    let voters = active.map(|peer| Voter {
        node: peer.member.incarnation.node.clone(),
        control: peer.member.control,
    });
    voters.collect()
}

/// Returns the newest confirmation time that a majority of a record's voters has reached.
fn majority_confirmed_at(record: &LeaderRecord, peers: &Peers) -> Option<Moment> {
    let confirmed_at = |node| peers.get(node).and_then(|peer| peer.confirmed_at);
    let mut times: Vec<Moment> = record
        .voters
        .iter()
        .filter_map(|voter| confirmed_at(&voter.node))
        .collect();
    times.sort_unstable();
    let index = times.len().checked_sub(record.majority())?;
    times.get(index).copied()
}
