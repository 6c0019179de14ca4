//! Distribution of free ranges among servers.

use super::Candidate;
use crate::model::KeyRange;

/// The size in keys up to which a range is assigned whole. Dividing it further gains nothing and adds
/// table entries.
const MAX_WHOLE_KEYS: u32 = 256;

/// The load at which a server has no free capacity, as a share of its capacity. It is above one because
/// some requests wait on any busy server.
const FULL_LOAD: f64 = 1.2;
/// The least free share of its capacity with which a server counts.
const MIN_FREE_SHARE: f64 = 0.1;

/// Distributes free ranges so that each server's number of keys is proportional to its free capacity. A
/// lost server's keys must not all go to a server that has few keys because it is slow. Returns the index
/// of the free range, the keys and the index of the server.
pub fn distribute_ranges(
    free: &[KeyRange],
    servers: &[Candidate],
) -> Vec<(usize, KeyRange, usize)> {
    let capacity = |server: &Candidate| {
        let share = (FULL_LOAD - server.load).clamp(MIN_FREE_SHARE, FULL_LOAD);
        (f64::from(server.slots) * share * 100.0) as u32
    };
    let total_capacity: u32 = servers.iter().map(capacity).sum();
    let held: u32 = servers.iter().map(|server| server.keys).sum();
    let all: u32 = held + free.iter().map(KeyRange::size).sum::<u32>();
    if total_capacity == 0 {
        return Vec::new();
    }
    // The number of keys by which each server falls short of its share.
    let mut deficits: Vec<i64> = servers
        .iter()
        .map(|server| {
            let share = u64::from(all) * u64::from(capacity(server)) / u64::from(total_capacity);
            i64::try_from(share).unwrap_or(i64::MAX) - i64::from(server.keys)
        })
        .collect();
    let mut assigned = Vec::new();
    for (index, keys) in free.iter().enumerate() {
        let mut rest = Some(*keys);
        while let Some(keys) = rest {
            let Some((server, deficit)) = deficits
                .iter()
                .enumerate()
                .max_by_key(|(_, deficit)| **deficit)
            else {
                break;
            };
            let deficit = u32::try_from((*deficit).max(0)).unwrap_or(u32::MAX);
            let size = match keys.size() <= MAX_WHOLE_KEYS || deficit < MAX_WHOLE_KEYS {
                true => keys.size(),
                // A remainder too small to be worth a table entry is included.
                false if keys.size() < deficit + MAX_WHOLE_KEYS => keys.size(),
                false => deficit,
            };
            let last = u32::from(keys.first) + size - 1;
            let last = u16::try_from(last).unwrap_or(u16::MAX);
            let part = KeyRange {
                first: keys.first,
                last,
            };
            assigned.push((index, part, server));
            if let Some(deficit) = deficits.get_mut(server) {
                *deficit -= i64::from(size);
            }
            rest = last
                .checked_add(1)
                .and_then(|first| KeyRange::new(first, keys.last));
        }
    }
    assigned
}
