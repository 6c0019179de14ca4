//! Keeping the leader's record in the store true.

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

/// How long the set of voters must stay as it is until it is written: nodes start together, and
/// each write costs a call.
const CALM: Duration = Duration::from_millis(500);
/// How long a node may be silent and stay a voter.
const VOTER_SILENCE: Duration = Duration::from_secs(5);
/// The same for a node that said it leaves and has no backend server any more.
const GONE_SILENCE: Duration = Duration::from_millis(1_500);
/// How long a call to the store is waited for at most; the client gives up earlier.
const CALL: Duration = Duration::from_secs(4);

/// Follows the calls to the leader's topic.
#[derive(Clone, Debug)]
pub(super) struct RecordKeeper {
    /// Where the topic ends, as far as known.
    end: u64,
    written: Moment,
    /// The record of a write whose fate is not known yet.
    pending: Option<LeaderRecord>,
    /// When the read in flight was sent.
    reading: Option<Moment>,
    /// When the write in flight was sent, and where it wants the topic to end.
    writing: Option<(Moment, u64)>,
    asked: Moment,
    called: Moment,
    wanted: Vec<Voter>,
    wanted_since: Moment,
    overtaken: bool,
    /// Whether an earlier sending of the pending write may still land.
    uncertain: bool,
    /// Whether the store has been seen without the pending write, so that it must be sent again.
    missing: bool,
}

impl RecordKeeper {
    pub(super) fn new(now: Moment, end: u64) -> Self {
        Self {
            end,
            written: now,
            pending: None,
            reading: None,
            writing: None,
            asked: now,
            called: Moment::default(),
            wanted: Vec::new(),
            wanted_since: now,
            overtaken: false,
            uncertain: false,
            missing: false,
        }
    }

    /// Starts for a leader whose record is not in the store yet.
    pub(super) fn unwritten(now: Moment, end: u64) -> Self {
        Self {
            written: Moment::default(),
            ..Self::new(now, end)
        }
    }

    /// Returns where the topic ends, as far as known.
    pub(super) fn end(&self) -> u64 {
        self.end
    }

    /// Tells whether the fate of a write is open.
    pub(super) fn is_writing(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns since when a majority of the voters confirms the leadership. While a change of the
    /// voters is in flight, a later leader may read either set, so both must have a majority.
    pub(super) fn majority_stamp(&self, record: &LeaderRecord, peers: &Peers) -> Option<Moment> {
        let stamp = majority_stamp(record, peers)?;
        match &self.pending {
            Some(pending) => Some(stamp.min(majority_stamp(pending, peers)?)),
            None => Some(stamp),
        }
    }

    /// Tells whether no record in flight says that the leader needs a majority.
    pub(super) fn allows_alone(&self) -> bool {
        self.pending
            .as_ref()
            .is_none_or(|pending| pending.store_suffices)
    }

    /// Tells whether silent nodes are to be called again.
    pub(super) fn is_call_due(&mut self, now: Moment, pause: Duration) -> bool {
        let due = now.since(self.called) >= pause;
        if due {
            self.called = now;
        }
        due
    }
}

impl Leader {
    /// Tells whether a later claim stands in the store.
    pub(in crate::ownership) fn is_superseded(&self) -> bool {
        self.keeper.overtaken
    }

    /// Confirms the leadership at the store, and writes the record when it has changed.
    pub(super) fn keep_record(&mut self, now: Moment, actions: &mut Vec<Action>) {
        let wanted = self.wanted_voters(now);
        // Without a majority for long enough to suspect that it is gone, there is most of a lease left
        // to tell the store.
        let alone = match self.record.store_suffices {
            true => !self.authority.can_join_majority(now, &self.times),
            false => !self.authority.has_majority(now, &self.times),
        };
        let keeper = &mut self.keeper;
        let open = |sent: Moment| now.since(sent) < CALL;
        if keeper.reading.is_some_and(open) || keeper.writing.is_some_and(|(sent, _)| open(sent)) {
            return;
        }
        if wanted != keeper.wanted {
            keeper.wanted = wanted;
            keeper.wanted_since = now;
        }
        let changed = keeper.wanted != self.record.voters
            || !self.record.takeover_complete
            || alone != self.record.store_suffices;
        let calm = now.since(keeper.wanted_since) >= CALM;
        let left_alone = alone && !self.record.store_suffices;
        let due = (changed && calm)
            || left_alone
            || now.since(keeper.written) >= self.times.refresh_interval;
        if let Some(record) = keeper.pending.clone().filter(|_| keeper.missing) {
            // Both copies want the same place, so one of them lands at most.
            keeper.missing = false;
            let topic_end = keeper.end;
            keeper.writing = Some((now, topic_end));
            actions.push(Action::WriteLeader { topic_end, record });
        } else if keeper.pending.is_none() && self.takeover.is_none() && due {
            let record = LeaderRecord {
                voters: match calm {
                    true => keeper.wanted.clone(),
                    false => self.record.voters.clone(),
                },
                takeover_complete: true,
                store_suffices: alone,
                ..self.record.clone()
            };
            let topic_end = keeper.end;
            keeper.writing = Some((now, topic_end));
            keeper.written = now;
            keeper.pending = Some(record.clone());
            actions.push(Action::WriteLeader { topic_end, record });
        } else if now.since(keeper.asked) >= self.times.verify_interval {
            keeper.reading = Some(now);
            keeper.asked = now;
            actions.push(Action::ReadLeader);
        }
    }

    /// Tells whether the next leader is sure to find a node among the voters, whichever of this leader's
    /// records it reads.
    pub(super) fn may_hold(&self, node: &NodeName) -> bool {
        let pending = self.keeper.pending.as_ref();
        self.record.has_voter(node) && pending.is_none_or(|pending| pending.has_voter(node))
    }

    /// Returns the nodes that are heard, and those whose servers may hold keys.
    ///
    /// A leader to whom the leadership was just handed has not heard all of them yet. Were it to leave
    /// out a silent one that holds keys, the next leader would not ask that node, and would give its
    /// keys to another.
    fn wanted_voters(&self, now: Moment) -> Vec<Voter> {
        let mut wanted = voters(now, &self.peers);
        let rows = self.ledgers.values().flat_map(|ledger| ledger.rows());
        let holders: BTreeSet<&NodeName> = rows
            .filter_map(|row| row.state.tenure().map(|tenure| &tenure.node))
            .collect();
        let silent = self.record.voters.iter().filter(|voter| {
            holders.contains(&voter.node) && wanted.iter().all(|known| known.node != voter.node)
        });
        let silent: Vec<Voter> = silent.cloned().collect();
        wanted.extend(silent);
        wanted.sort();
        wanted
    }

    /// Learns what became of a write.
    pub(in crate::ownership) fn handle_write(&mut self, outcome: AppendOutcome) {
        let writing = self.keeper.writing.take();
        match outcome {
            AppendOutcome::Appended => {
                // A read may have shown this record before its own answer came.
                if let Some((sent, end)) = writing {
                    self.keeper.end = self.keeper.end.max(end + 1);
                    self.authority.confirm_by_store(sent);
                }
                self.keeper.uncertain = false;
                if let Some(record) = self.keeper.pending.take() {
                    self.record = record;
                }
            }
            AppendOutcome::Refused if self.keeper.uncertain => self.keeper.missing = true,
            AppendOutcome::Refused => self.keeper.pending = None,
            // Another's claim, or an earlier write of ours that came late: the next read tells.
            AppendOutcome::Overtaken => self.keeper.asked = Moment::default(),
            AppendOutcome::Unknown => {
                self.keeper.uncertain = true;
                self.keeper.asked = Moment::default();
            }
        }
    }

    /// Learns what the store holds, as asked for at `asked`.
    pub(in crate::ownership) fn handle_read(&mut self, asked: Moment, read: LeaderRead) {
        self.keeper.reading = None;
        let LeaderRead::Newest(record, end) = read else {
            return;
        };
        match record {
            Some(record) if record.epoch == self.record.epoch && record.leader == self.me => {
                self.authority.confirm_by_store(asked);
                // A write whose answer was lost may still land as long as the topic ends where it
                // wants; once the topic has moved on, this record is what became of it.
                if end > self.keeper.end {
                    self.keeper.end = end;
                    self.record = record;
                    self.keeper.pending = None;
                    self.keeper.uncertain = false;
                }
                self.keeper.missing = self.keeper.pending.is_some();
            }
            // The leadership was handed on, and its record is still to be written.
            Some(record) if record.epoch < self.record.epoch => {
                self.authority.confirm_by_store(asked);
                self.keeper.missing = self.keeper.pending.is_some();
            }
            _ => self.keeper.overtaken = true,
        }
    }
}

fn voters(now: Moment, peers: &Peers) -> Vec<Voter> {
    let heard = peers.values().filter(|peer| {
        let left = peer.member.leaving && peer.member.server.is_none();
        let most = if left { GONE_SILENCE } else { VOTER_SILENCE };
        peer.heard_at.is_some_and(|at| now.since(at) < most)
    });
    let voters = heard.map(|peer| Voter {
        node: peer.member.incarnation.node.clone(),
        control: peer.member.control,
    });
    voters.collect()
}

/// Returns the newest moment since which a majority of a record's voters has confirmed.
fn majority_stamp(record: &LeaderRecord, peers: &Peers) -> Option<Moment> {
    let vouched = |node| peers.get(node).and_then(|peer| peer.vouched);
    let mut stamps: Vec<Moment> = record
        .voters
        .iter()
        .filter_map(|voter| vouched(&voter.node))
        .collect();
    stamps.sort_unstable();
    let place = stamps.len().checked_sub(record.majority())?;
    stamps.get(place).copied()
}
