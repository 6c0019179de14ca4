//! Handing the leadership on.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::authority::Authority;
use super::leader_machine::Leader;
use super::ledger::Ledger;
use super::record_keeping::RecordKeeper;
use super::row::Freedom;
use super::row::Row;
use super::row::RowState;
use super::row::Tenure;
use crate::model::OperatorsIntent;
use crate::ownership::Directory;
use crate::ownership::Handoff;
use crate::ownership::HandoffHolder;
use crate::ownership::HandoffRange;
use crate::ownership::LeaderRecord;
use crate::ownership::LeaseTimes;
use crate::ownership::Member;

impl Leader {
    /// Writes down what a successor must know, and chooses one; none if this leader does not know
    /// everything itself, or nobody fits.
    pub(in crate::ownership) fn prepare_handoff(&self, now: Moment) -> Option<(Member, Handoff)> {
        if self.takeover.is_some() || !self.record.takeover_complete || self.keeper.is_writing() {
            return None;
        }
        let fits = |member: &&Member| {
            member.incarnation != self.me
                && !member.leaving
                && self.record.has_voter(&member.incarnation.node)
        };
        let successors = self.responsive_members(now).filter(fits);
        let successor = successors.min_by_key(|member| member.narrow_link)?.clone();
        let record = LeaderRecord {
            epoch: self.record.epoch.after_handoff()?,
            leader: successor.incarnation.clone(),
            control: successor.control,
            ..self.record.clone()
        };
        let mut ranges = Vec::new();
        for (service, ledger) in &self.ledgers {
            ranges.extend(ledger.rows().iter().map(|row| {
                let (holder, handover) = handed(now, row);
                HandoffRange {
                    service: service.clone(),
                    keys: row.keys,
                    holder,
                    handover,
                }
            }));
        }
        let storeless = self.authority.storeless_left(now, &self.times);
        let sequence = self.peers.get(&successor.incarnation.node)?.sequence;
        let handoff = Handoff {
            successor: successor.incarnation.clone(),
            sequence,
            record,
            topic_end: self.keeper.end(),
            fence: self.fence,
            store_grace: milliseconds(storeless),
            ranges,
        };
        Some((successor, handoff))
    }

    /// Goes on where another leader has stopped; `written` is a moment before it wrote the handoff.
    pub(in crate::ownership) fn from_handoff(
        now: Moment,
        written: Moment,
        handoff: &Handoff,
        directory: &Directory,
        intent: OperatorsIntent,
        times: LeaseTimes,
    ) -> Self {
        let mut leader = Self::bare(now, handoff.record.clone(), directory, intent, times);
        let storeless = Duration::from_millis(u64::from(handoff.store_grace));
        leader.authority = Authority::handed(now, written, storeless, &times);
        leader.keeper = RecordKeeper::unwritten(now, handoff.topic_end);
        leader.fence = leader.fence.max(handoff.fence);
        leader.starting = Some(now);
        for range in &handoff.ranges {
            let ledger = leader.ledgers.entry(range.service.clone());
            let ledger = ledger.or_insert_with(|| Ledger::new(RowState::free()));
            ledger.set(range.keys, taken(now, range));
        }
        leader
    }
}

fn handed(now: Moment, row: &Row) -> (Option<HandoffHolder>, Option<crate::model::Handover>) {
    let leaving = matches!(row.state, RowState::Leaving { .. });
    let holder = row.state.tenure().map(|tenure| HandoffHolder {
        node: tenure.node.clone(),
        server: tenure.server.clone(),
        fence: tenure.fence,
        lease_left: milliseconds(tenure.until.since(now)),
        releasing: leaving,
    });
    let handover = match &row.state {
        RowState::Free(freedom) => freedom.handover.clone(),
        _ => None,
    };
    (holder, handover)
}

fn taken(now: Moment, range: &HandoffRange) -> RowState {
    let Some(holder) = &range.holder else {
        return RowState::Free(Freedom {
            // It may have lapsed just before.
            lapsed: Some(now),
            handover: range.handover.clone(),
            to: None,
        });
    };
    let tenure = Tenure {
        node: holder.node.clone(),
        server: holder.server.clone(),
        fence: holder.fence,
        handover: None,
        until: now + Duration::from_millis(u64::from(holder.lease_left)),
    };
    match holder.releasing {
        true => RowState::Leaving {
            tenure,
            since: now.0,
            to: None,
        },
        false => RowState::Held(tenure),
    }
}

fn milliseconds(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
