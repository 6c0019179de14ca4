//! The replay of the control stream.

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

/// How many record ids are remembered. A retry follows its first attempt within seconds and a cell
/// writes a few records a minute, so this covers hours.
const REMEMBERED_RECORDS: usize = 4_096;

/// Replays the control stream; every reader that has read as far comes to the same term.
#[derive(Debug, Default)]
pub(super) struct ControlLog {
    seen: BTreeSet<RecordId>,
    order: VecDeque<RecordId>,
    start: Offset,
    next: Offset,
    current: bool,
    term: Option<TermState>,
    joins: BTreeMap<NodeName, Member>,
    undecided: Vec<(Offset, Claim)>,
}

impl ControlLog {
    /// Takes the outcome of a read.
    pub(super) fn read(&mut self, entries: &[LogEntry], at_end: bool) {
        for entry in entries {
            self.replay(entry);
        }
        self.current = at_end;
    }

    /// Notes that records were missed; what is known may be outdated, so it decides nothing until
    /// a checkpoint or a first claim is read.
    pub(super) fn skip_to(&mut self, oldest: Offset) {
        self.start = oldest;
        self.next = oldest;
        self.term = None;
        self.undecided.clear();
        self.current = false;
    }

    /// Notes that the log service does not answer.
    pub(super) fn lose(&mut self) {
        self.current = false;
    }

    /// Tells whether the stream has been read to its end and the log service answers.
    pub(super) fn is_current(&self) -> bool {
        self.current
    }

    /// Tells whether a record was read.
    pub(super) fn contains(&self, id: RecordId) -> bool {
        self.seen.contains(&id)
    }

    /// Tells whether records before the first one read are missing.
    pub(super) fn has_gap(&self) -> bool {
        self.start > Offset(0)
    }

    pub(super) fn term(&self) -> Option<&TermState> {
        self.term.as_ref()
    }

    pub(super) fn joins(&self) -> impl Iterator<Item = &Member> {
        self.joins.values()
    }

    pub(super) fn next_offset(&self) -> Offset {
        self.next
    }

    /// Returns the number of a new claim and the term it follows.
    ///
    /// Every term takes at least one record, so no term exceeds the count of records before its
    /// claim plus one. A writer that finds no term in a log whose beginning has expired therefore
    /// exceeds all earlier terms by numbering its own after the offset.
    pub(super) fn next_term(&self) -> (Term, Option<Term>) {
        match &self.term {
            Some(state) => (state.term().next(), Some(state.term())),
            None if self.has_gap() => (Term(self.next.0 + 1), None),
            None => (Term(1), None),
        }
    }

    fn replay(&mut self, entry: &LogEntry) {
        if entry.offset < self.next {
            return;
        }
        self.next = entry.offset.next();
        let Ok(record) = serde_json::from_slice::<ControlRecord>(&entry.data) else {
            log::warn!(event = "control_record_unreadable", offset:% = entry.offset; "skipped");
            return;
        };
        if !self.remember(record.id) {
            return;
        }
        match record.body {
            ControlBody::Join(member) => self.join(member),
            ControlBody::Claim(claim) => self.claim(entry.offset, claim),
            ControlBody::Established(term) => self.establish(term),
            ControlBody::Checkpoint(checkpoint) => self.restore(checkpoint),
        }
    }

    fn remember(&mut self, id: RecordId) -> bool {
        if !self.seen.insert(id) {
            return false;
        }
        self.order.push_back(id);
        if self.order.len() > REMEMBERED_RECORDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.seen.remove(&oldest);
        }
        true
    }

    fn join(&mut self, member: Member) {
        let known = self.joins.get(&member.node);
        if known.is_none_or(|known| known.incarnation <= member.incarnation) {
            self.joins.insert(member.node.clone(), member);
        }
    }

    fn claim(&mut self, offset: Offset, claim: Claim) {
        if claim.controllers.is_empty() || claim.voters.len().is_multiple_of(2) {
            return;
        }
        let wins = match (&self.term, claim.predecessor) {
            (Some(state), Some(base)) => base == state.term() && claim.term == base.next(),
            (Some(state), None) => claim.term > state.term(),
            (None, None) => self.start <= claim.next_offset,
            (None, Some(_)) => {
                self.undecided.push((offset, claim));
                return;
            }
        };
        if wins {
            self.install(claim);
        }
    }

    fn install(&mut self, claim: Claim) {
        let own = claim.times.unreported_wait();
        let (earlier, wait) = match self.term.take() {
            None => (Vec::new(), own),
            Some(state) => (state.voter_sets(), state.successor_wait().max(own)),
        };
        self.undecided.clear();
        self.joins.clear();
        self.term = Some(TermState {
            claim,
            earlier_voters: earlier,
            unreported_wait: wait,
            established: false,
        });
    }

    fn establish(&mut self, term: Term) {
        if let Some(state) = &mut self.term
            && state.term() == term
        {
            state.established = true;
            state.earlier_voters.clear();
        }
    }

    /// Takes a checkpoint as the state at its offset and decides the claims read since. It counts
    /// only for a reader that has everything since that offset; otherwise a claim that lost to an
    /// unread one would seem to win.
    fn restore(&mut self, checkpoint: Checkpoint) {
        if self.term.is_some() || self.start > checkpoint.next_offset {
            return;
        }
        self.term = Some(checkpoint.term);
        for (offset, claim) in std::mem::take(&mut self.undecided) {
            if offset >= checkpoint.next_offset {
                self.claim(offset, claim);
            }
        }
    }
}
