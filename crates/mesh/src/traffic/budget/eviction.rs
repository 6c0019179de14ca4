//! Who gives up what it holds when no more can be held.

use std::cmp::Reverse;
use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::HolderId;
use super::Kind;
use super::holder::Holder;

/// How long a holder may stand still before it is the first to be evicted. A client that still sends or reads
/// does so within a round trip.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Chooses the holder of some kinds that gives way to `asking`; it may be that one itself.
///
/// First goes what has stood still for long. Of connections then the one that was quiet for the longest time. Of
/// bodies the largest but the oldest, so that one of them always gets to its end.
pub(super) fn choose<'a, I>(
    now: Moment,
    kinds: &[Kind],
    asking: HolderId,
    holders: I,
) -> Option<HolderId>
where
    I: Iterator<Item = (&'a HolderId, &'a Holder)> + Clone,
{
    let waiting = holders.filter(|(_, holder)| kinds.contains(&holder.kind) && holder.is_waiting);
    let others = waiting.clone().filter(|(id, _)| **id != asking);
    let quietest = others.min_by_key(|(id, holder)| (holder.moved_at, **id));
    let (quietest_id, quietest) = quietest?;
    if quietest.kind.is_connection() || now.since(quietest.moved_at) >= STALL_TIME {
        return Some(*quietest_id);
    }
    let (oldest, _) = waiting
        .clone()
        .min_by_key(|(id, holder)| (holder.opened_at, **id))?;
    waiting
        .filter(|(id, _)| *id != oldest)
        .max_by_key(|(id, holder)| (holder.bytes, Reverse(**id)))
        .map(|(id, _)| *id)
}
