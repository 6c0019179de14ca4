//! Sharing out free ranges.

use super::Candidate;
use crate::model::KeyRange;

/// Ranges up to this size are given away whole: cutting them further gains nothing and makes rows.
const WHOLE: u32 = 256;

/// The load at which a server has no room for more, as a share of what it can do. A little above
/// one: some requests wait on any busy server.
const NO_ROOM: f64 = 1.2;
/// The least share of what it can do with which a server counts all the same.
const LEAST: f64 = 0.1;

/// Shares free ranges out so that each server's number of keys follows the room that it has: a lost
/// server's keys must not all go to the one that has few keys because it is slow. Returns the place
/// of the free range, the keys and the place of the server.
pub fn share_out(free: &[KeyRange], servers: &[Candidate]) -> Vec<(usize, KeyRange, usize)> {
    let room = |server: &Candidate| {
        let share = (NO_ROOM - server.load).clamp(LEAST, NO_ROOM);
        (f64::from(server.slots) * share * 100.0) as u32
    };
    let slots: u32 = servers.iter().map(room).sum();
    let held: u32 = servers.iter().map(|server| server.keys).sum();
    let all: u32 = held + free.iter().map(KeyRange::size).sum::<u32>();
    if slots == 0 {
        return Vec::new();
    }
    // How many keys each server lacks of its share.
    let mut lacks: Vec<i64> = servers
        .iter()
        .map(|server| {
            let share = u64::from(all) * u64::from(room(server)) / u64::from(slots);
            i64::try_from(share).unwrap_or(i64::MAX) - i64::from(server.keys)
        })
        .collect();
    let mut shared = Vec::new();
    for (place, keys) in free.iter().enumerate() {
        let mut rest = Some(*keys);
        while let Some(keys) = rest {
            let Some((server, lack)) = lacks.iter().enumerate().max_by_key(|(_, lack)| **lack)
            else {
                break;
            };
            let lack = u32::try_from((*lack).max(0)).unwrap_or(u32::MAX);
            let size = match keys.size() <= WHOLE || lack < WHOLE {
                true => keys.size(),
                // A remainder too small to be worth a row goes along.
                false if keys.size() < lack + WHOLE => keys.size(),
                false => lack,
            };
            let last = u32::from(keys.first) + size - 1;
            let last = u16::try_from(last).unwrap_or(u16::MAX);
            let part = KeyRange {
                first: keys.first,
                last,
            };
            shared.push((place, part, server));
            if let Some(lack) = lacks.get_mut(server) {
                *lack -= i64::from(size);
            }
            rest = last
                .checked_add(1)
                .and_then(|first| KeyRange::new(first, keys.last));
        }
    }
    shared
}
