//! The replayed state of the control stream.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::boundary::LogEntry;
use crate::cluster::Member;
use crate::ids::NodeName;
use crate::ids::Offset;
use crate::ids::RecordId;
use crate::ids::Term;
use crate::ownership::record::Checkpoint;
use crate::ownership::record::Claim;
use crate::ownership::record::ControlBody;
use crate::ownership::record::ControlRecord;
use crate::ownership::record::TermState;

/// How many record ids are remembered to drop duplicates. A retry follows its first attempt within
/// seconds and a cluster writes a few records a minute, so this covers hours.
const MAX_REMEMBERED_IDS: usize = 4_096;

/// Replays the control stream. All readers that have read up to the same offset agree on the term.
#[derive(Debug, Default)]
pub(super) struct ControlLog {
    seen_ids: BTreeSet<RecordId>,
    id_order: VecDeque<RecordId>,
    first_offset: Offset,
    next_offset: Offset,
    current: bool,
    term: Option<TermState>,
    joins: BTreeMap<NodeName, Member>,
    pending_claims: Vec<(Offset, Claim)>,
}

impl ControlLog {
    /// Replays the entries of a read.
    pub(super) fn replay_entries(&mut self, entries: &[LogEntry], at_end: bool) {
        for entry in entries {
            self.replay_entry(entry);
        }
        self.current = at_end;
    }

    /// Skips expired records. The known term may be outdated, so it is dropped until a checkpoint
    /// or a first claim is read.
    pub(super) fn skip_to(&mut self, oldest: Offset) {
        self.first_offset = oldest;
        self.next_offset = oldest;
        self.term = None;
        self.pending_claims.clear();
        self.current = false;
    }

    /// Records that the log service does not answer.
    pub(super) fn mark_unavailable(&mut self) {
        self.current = false;
    }

    /// Tells whether the stream has been read to its end and the log service answers.
    pub(super) fn is_current(&self) -> bool {
        self.current
    }

    /// Tells whether a record with this id was read.
    pub(super) fn contains(&self, id: RecordId) -> bool {
        self.seen_ids.contains(&id)
    }

    /// Tells whether records at the beginning of the stream were missed.
    pub(super) fn has_gap(&self) -> bool {
        self.first_offset > Offset(0)
    }

    pub(super) fn term(&self) -> Option<&TermState> {
        self.term.as_ref()
    }

    pub(super) fn joins(&self) -> impl Iterator<Item = &Member> {
        self.joins.values()
    }

    pub(super) fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the term of a new claim and the term that it follows.
    ///
    /// Every term takes at least one record, so no term exceeds the number of records before its
    /// claim plus one. If the beginning of the log has expired and the rest contains no term, a
    /// term derived from the next offset is therefore higher than all earlier ones.
    pub(super) fn next_term(&self) -> (Term, Option<Term>) {
        match &self.term {
            Some(state) => (state.term().next(), Some(state.term())),
            None if self.has_gap() => (Term(self.next_offset.0 + 1), None),
            None => (Term(1), None),
        }
    }

    fn replay_entry(&mut self, entry: &LogEntry) {
        if entry.offset < self.next_offset {
            return;
        }
        self.next_offset = entry.offset.next();
        let Ok(record) = serde_json::from_slice::<ControlRecord>(&entry.data) else {
            log::warn!(event = "control_record_unreadable", offset:% = entry.offset; "skipped an unreadable control record");
            return;
        };
        if !self.remember_id(record.id) {
            return;
        }
        match record.body {
            ControlBody::Join(member) => self.apply_join(member),
            ControlBody::Claim(claim) => self.apply_claim(entry.offset, claim),
            ControlBody::Established(term) => self.apply_established(term),
            ControlBody::Checkpoint(checkpoint) => self.apply_checkpoint(checkpoint),
        }
    }

    fn remember_id(&mut self, id: RecordId) -> bool {
        if !self.seen_ids.insert(id) {
            return false;
        }
        self.id_order.push_back(id);
        if self.id_order.len() > MAX_REMEMBERED_IDS
            && let Some(oldest) = self.id_order.pop_front()
        {
            self.seen_ids.remove(&oldest);
        }
        true
    }

    fn apply_join(&mut self, member: Member) {
        let known = self.joins.get(&member.node);
        if known.is_none_or(|known| known.incarnation <= member.incarnation) {
            self.joins.insert(member.node.clone(), member);
        }
    }

    fn apply_claim(&mut self, offset: Offset, claim: Claim) {
        if claim.controllers.is_empty() || claim.voters.len().is_multiple_of(2) {
            return;
        }
        let wins = match (&self.term, claim.predecessor) {
            (Some(state), Some(predecessor)) => {
                predecessor == state.term() && claim.term == predecessor.next()
            }
            (Some(state), None) => claim.term > state.term(),
            (None, None) => self.first_offset <= claim.next_offset,
            (None, Some(_)) => {
                self.pending_claims.push((offset, claim));
                return;
            }
        };
        if wins {
            self.start_term(claim);
        }
    }

    fn start_term(&mut self, claim: Claim) {
        let own = claim.times.unreported_wait();
        let (earlier, wait) = match self.term.take() {
            None => (Vec::new(), own),
            Some(state) => (state.voter_sets(), state.successor_wait().max(own)),
        };
        self.pending_claims.clear();
        self.joins.clear();
        self.term = Some(TermState {
            claim,
            earlier_voters: earlier,
            unreported_wait: wait,
            established: false,
        });
    }

    fn apply_established(&mut self, term: Term) {
        if let Some(state) = &mut self.term
            && state.term() == term
        {
            state.established = true;
            state.earlier_voters.clear();
        }
    }

    /// Adopts a checkpoint as the state at its offset and decides the claims read since then. It is
    /// ignored unless every record since that offset was read; otherwise a claim that lost to an
    /// unread one would seem to win.
    fn apply_checkpoint(&mut self, checkpoint: Checkpoint) {
        if self.term.is_some() || self.first_offset > checkpoint.next_offset {
            return;
        }
        self.term = Some(checkpoint.term);
        for (offset, claim) in std::mem::take(&mut self.pending_claims) {
            if offset >= checkpoint.next_offset {
                self.apply_claim(offset, claim);
            }
        }
    }
}
