//! Moving keys from full servers to emptier ones.

use super::Candidate;
use crate::model::KeyRange;
use crate::ownership::KeyLoad;

/// How much work a server may be asked for until keys are moved away, as a share of what it can do:
/// below this a request rarely waits, and a move makes its keys wait for about a second.
const FULL: f64 = 0.85;
/// By how much the target must be emptier.
const GAP: f64 = 0.3;
/// How much emptier than another a server must be to get a range though its heartbeat comes later: a
/// range has no owner until the heartbeat of the server that is to get it.
const NEAR: f64 = 0.2;
/// How long a released range takes until it can be granted, in heartbeats of about a second: the
/// server says within a tenth of a second that it has released it, and its node and that of the next
/// owner each speak to the leader.
const HANDING: f64 = 0.3;
/// How much work the server that gets a range may be asked for afterwards. A single key that asks for
/// more than a server can do gains nothing by a move, and has no owner meanwhile; its neighbours go.
const FILLED: f64 = 1.0;
/// The share of the wanted load that a run of keys must carry at least.
const ENOUGH: f64 = 0.5;
/// The share of the gap between two servers by which a run of keys may fill the emptier one if there is
/// none that levels them: the fuller of both is then less full than before.
const COARSE: f64 = 0.75;

/// Is a range to be moved.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeyMove {
    /// The keys.
    pub keys: KeyRange,
    /// How many slots of a usual server their requests keep busy.
    pub work: f64,
    /// The place of the server that has them.
    pub from: usize,
    /// The place of the server that should get them.
    pub to: usize,
}

/// Is a server as it will be once the moves picked so far are done.
#[derive(Clone, Debug)]
struct Projected {
    load: f64,
    /// Its slots, times what the whole service is asked for if that is more than it can do.
    slots: f64,
    slowness: f64,
    phase: f64,
    cold: bool,
    /// What can still be moved away from it; not what was just given to it.
    parts: Vec<KeyLoad>,
    /// Whether it has nothing that would help.
    done: bool,
}

/// Picks the runs of keys that level the servers of a service, `most` of them at most, from the
/// fullest to the emptiest each time.
///
/// Many at once, because a hot range asks for several servers' worth of work, and one move after the
/// other would take longer than it stays hot. Narrow ones, because every moved key's work stops for
/// a moment, and a hot range is narrow.
///
/// Where a service is asked for more than all its servers can do, a server's load counts as a part of
/// the mean: what is refused comes back and is counted again, so no target would ever have room.
pub fn pick_moves(servers: &[Candidate], most: usize) -> Vec<KeyMove> {
    let scale = mean_load(servers).max(1.0);
    let scaled = servers.iter().map(|server| Projected::new(server, scale));
    let mut projected: Vec<Projected> = scaled.collect();
    let mut moves = Vec::new();
    while moves.len() < most {
        let Some((from, to)) = widest_gap(&projected) else {
            break;
        };
        match next_move(&projected, from, to) {
            Some(chosen) => {
                carry_out(&mut projected, &chosen);
                moves.push(chosen);
            }
            None => set_done(&mut projected, from),
        }
    }
    moves
}

impl Projected {
    fn new(server: &Candidate, scale: f64) -> Self {
        Self {
            load: server.load / scale,
            slots: f64::from(server.slots.max(1)) * scale,
            slowness: server.slowness.max(f64::MIN_POSITIVE),
            phase: server.phase,
            cold: server.cold,
            parts: server.key_loads.clone(),
            done: false,
        }
    }

    /// Returns how long a range has no owner that goes to another server, in heartbeats.
    fn unowned_until(&self, other: &Self) -> f64 {
        (other.phase - self.phase - HANDING).rem_euclid(1.0)
    }

    /// Returns the load that comes with work for one slot of a usual server.
    fn unit(&self) -> f64 {
        self.slowness / self.slots
    }
}

fn mean_load(servers: &[Candidate]) -> f64 {
    let total: f64 = servers.iter().map(|server| server.load).sum();
    total / servers.len().max(1) as f64
}

/// Returns the fullest server with keys to give away and the emptiest, if the gap is worth a move.
fn widest_gap(servers: &[Projected]) -> Option<(usize, usize)> {
    let all = || servers.iter().enumerate();
    let by_load = |a: &(usize, &Projected), b: &(usize, &Projected)| a.1.load.total_cmp(&b.1.load);
    let (from, full) = all().filter(|(_, server)| !server.done).max_by(by_load)?;
    let warm = || all().filter(|(place, server)| !server.cold && *place != from);
    let (_, emptiest) = warm().min_by(by_load)?;
    let near = warm().filter(|(_, server)| server.load <= emptiest.load + NEAR);
    let (to, empty) = near.min_by(|(_, a), (_, b)| {
        let unowned = |server: &Projected| full.unowned_until(server) + server.load;
        unowned(a).total_cmp(&unowned(b))
    })?;
    let worthwhile = full.load >= FULL && full.load - empty.load >= GAP;
    worthwhile.then_some((from, to))
}

fn next_move(servers: &[Projected], from: usize, to: usize) -> Option<KeyMove> {
    let (full, empty) = (servers.get(from)?, servers.get(to)?);
    // Half of what a hot range asks for would make its target the next to be full.
    let mean = servers.iter().map(|server| server.load).sum::<f64>() / servers.len() as f64;
    let room = (mean - empty.load).max(GAP / 2.0) / empty.unit();
    let level = (full.load - empty.load) / (full.unit() + empty.unit());
    let level = level.min((FILLED - empty.load) / empty.unit());
    let wanted = level.min(room) * full.slowness;
    let run = narrowest_run(&full.parts, wanted, level * full.slowness);
    // A busy key can't be cut; better where it is the fuller server's than where it is too much.
    let coarse = ((full.load - empty.load) * COARSE).min(FILLED - empty.load) / empty.unit();
    let run = run.or_else(|| narrowest_run(&full.parts, wanted, coarse * full.slowness));
    let (keys, slots) = run?;
    Some(KeyMove {
        keys,
        work: slots / full.slowness,
        from,
        to,
    })
}

fn carry_out(servers: &mut [Projected], chosen: &KeyMove) {
    if let Some(from) = servers.get_mut(chosen.from) {
        from.load -= chosen.work * from.unit();
        from.parts
            .retain(|part| chosen.keys.common(&part.keys).is_none());
    }
    if let Some(to) = servers.get_mut(chosen.to) {
        to.load += chosen.work * to.unit();
    }
}

fn set_done(servers: &mut [Projected], place: usize) {
    if let Some(server) = servers.get_mut(place) {
        server.done = true;
    }
}

/// Returns the narrowest run of keys that keeps about the wanted number of slots busy, and how many it
/// does; not more than `most`, with which the target would be fuller than the server that gives.
fn narrowest_run(parts: &[KeyLoad], wanted: f64, most: f64) -> Option<(KeyRange, f64)> {
    let mut best: Option<(KeyRange, f64)> = None;
    for (start, first) in parts.iter().enumerate() {
        let mut slots = 0.0;
        let mut end = first.keys;
        for part in parts.iter().skip(start) {
            // A gap belongs to another server, or must stay.
            let next = end.last.checked_add(1) == Some(part.keys.first);
            if part.keys != first.keys && !next {
                break;
            }
            end = part.keys;
            slots += part.slots();
            if slots >= wanted * ENOUGH {
                break;
            }
        }
        let run = KeyRange::new(first.keys.first, end.last)?;
        let fits = slots >= wanted * ENOUGH && slots <= most;
        if fits && best.is_none_or(|(best, _)| run.size() < best.size()) {
            best = Some((run, slots));
        }
    }
    best
}
