//! Handing the leadership over to another node.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::authority::Authority;
use super::leader_machine::Leader;
use super::range_entry::FreeRange;
use super::range_entry::RangeEntry;
use super::range_entry::RangeLease;
use super::range_entry::RangeState;
use super::range_map::RangeMap;
use super::record_sync::RecordSync;
use crate::model::OperatorsIntent;
use crate::ownership::Directory;
use crate::ownership::Handoff;
use crate::ownership::HandoffHolder;
use crate::ownership::HandoffRange;
use crate::ownership::LeaderRecord;
use crate::ownership::LeaseTimes;
use crate::ownership::Member;

impl Leader {
    /// Chooses a successor and collects what it must know. Returns `None` if this leader does not
    /// know all of it yet, or if no node qualifies.
    pub(in crate::ownership) fn prepare_handoff(&self, now: Moment) -> Option<(Member, Handoff)> {
        if self.takeover.is_some()
            || !self.record.takeover_complete
            || self.record_sync.has_pending_write()
        {
            return None;
        }
        let fits = |member: &&Member| {
            member.incarnation != self.own_incarnation
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
        for (service, range_map) in &self.range_maps {
            ranges.extend(range_map.entries().iter().map(|entry| {
                let (holder, handover) = handoff_holder(now, entry);
                HandoffRange {
                    service: service.clone(),
                    keys: entry.keys,
                    holder,
                    handover,
                }
            }));
        }
        let store_grace = self.authority.store_grace_left(now, &self.times);
        let sequence = self.peers.get(&successor.incarnation.node)?.sequence;
        let handoff = Handoff {
            successor: successor.incarnation.clone(),
            sequence,
            record,
            topic_end: self.record_sync.topic_end(),
            fence: self.last_fence,
            store_grace: milliseconds(store_grace),
            ranges,
        };
        Some((successor, handoff))
    }

    /// Continues another node's leadership. `written_after` is a moment before that node wrote the
    /// handoff.
    pub(in crate::ownership) fn from_handoff(
        now: Moment,
        written_after: Moment,
        handoff: &Handoff,
        directory: &Directory,
        intent: OperatorsIntent,
        times: LeaseTimes,
    ) -> Self {
        let mut leader =
            Self::from_directory(now, handoff.record.clone(), directory, intent, times);
        let store_grace = Duration::from_millis(u64::from(handoff.store_grace));
        leader.authority = Authority::from_handoff(now, written_after, store_grace, &times);
        leader.record_sync = RecordSync::unwritten(now, handoff.topic_end);
        leader.last_fence = leader.last_fence.max(handoff.fence);
        leader.starting_since = Some(now);
        for range in &handoff.ranges {
            let range_map = leader.range_maps.entry(range.service.clone());
            let range_map = range_map.or_insert_with(|| RangeMap::new(RangeState::free()));
            range_map.set(range.keys, range_state(now, range));
        }
        leader
    }
}

fn handoff_holder(
    now: Moment,
    entry: &RangeEntry,
) -> (Option<HandoffHolder>, Option<crate::model::Handover>) {
    let releasing = matches!(entry.state, RangeState::Releasing { .. });
    let holder = entry.state.lease().map(|lease| HandoffHolder {
        node: lease.node.clone(),
        server: lease.server.clone(),
        fence: lease.fence,
        lease_left: milliseconds(lease.expires_at.since(now)),
        releasing,
    });
    let handover = match &entry.state {
        RangeState::Free(free_range) => free_range.handover.clone(),
        _ => None,
    };
    (holder, handover)
}

fn range_state(now: Moment, range: &HandoffRange) -> RangeState {
    let Some(holder) = &range.holder else {
        return RangeState::Free(FreeRange {
            // Its lease may have lapsed just before.
            lapsed_at: Some(now),
            handover: range.handover.clone(),
            target: None,
        });
    };
    let lease = RangeLease {
        node: holder.node.clone(),
        server: holder.server.clone(),
        fence: holder.fence,
        handover: None,
        expires_at: now + Duration::from_millis(u64::from(holder.lease_left)),
    };
    match holder.releasing {
        true => RangeState::Releasing {
            lease,
            since: now.0,
            target: None,
        },
        false => RangeState::Held(lease),
    }
}

fn milliseconds(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
