//! Moving keys from a full server to an emptier one.

use super::Candidate;
use crate::model::KeyRange;

/// How full a server must be before its keys are moved, as a share of its slots: below this a
/// request rarely waits, and a move makes its keys wait for about a second.
const FULL: f64 = 0.85;
/// By how much the target must be emptier, as a share of its slots.
const GAP: f64 = 0.35;
/// The share of the wanted load that a run of keys must carry at least.
const ENOUGH: f64 = 0.5;
/// The share of it that it may carry at most, or the target would be the next to be full.
const TOO_MUCH: f64 = 1.25;

/// Is a range to be moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyMove {
    /// The keys.
    pub keys: KeyRange,
    /// The place of the server that has them.
    pub from: usize,
    /// The place of the server that should get them.
    pub to: usize,
}

/// Picks the narrowest run of keys that levels the fullest server with the emptiest, if one is too
/// full. Narrow, because every moved key's work stops while it moves, and a hot range is narrow.
pub fn pick_move(servers: &[Candidate]) -> Option<KeyMove> {
    let fill = |server: &Candidate| server.fill;
    let (from, full) = servers
        .iter()
        .enumerate()
        .max_by(|(_, a), (_, b)| fill(a).total_cmp(&fill(b)))?;
    let warm = servers
        .iter()
        .enumerate()
        .filter(|(_, server)| !server.cold);
    let (to, empty) = warm.min_by(|(_, a), (_, b)| fill(a).total_cmp(&fill(b)))?;
    let gap = fill(full) - fill(empty);
    if from == to || fill(full) < FULL || gap < GAP {
        return None;
    }
    let rate: f64 = full.key_loads.iter().map(|load| f64::from(load.rate)).sum();
    let wanted = rate * gap / 2.0 / fill(full);
    let keys = narrowest_run(full, wanted)?;
    Some(KeyMove { keys, from, to })
}

fn narrowest_run(server: &Candidate, wanted: f64) -> Option<KeyRange> {
    let loads = &server.key_loads;
    let mut best: Option<KeyRange> = None;
    for (start, first) in loads.iter().enumerate() {
        let mut sum = 0.0;
        let mut end = first.keys;
        for load in loads.iter().skip(start) {
            // A gap belongs to another server.
            let next = end.last.checked_add(1) == Some(load.keys.first);
            if load.keys != first.keys && !next {
                break;
            }
            end = load.keys;
            sum += f64::from(load.rate);
            if sum >= wanted * ENOUGH {
                break;
            }
        }
        let run = KeyRange::new(first.keys.first, end.last)?;
        let fits = sum >= wanted * ENOUGH && sum <= wanted * TOO_MUCH;
        if fits && best.is_none_or(|best| run.size() < best.size()) {
            best = Some(run);
        }
    }
    best
}
