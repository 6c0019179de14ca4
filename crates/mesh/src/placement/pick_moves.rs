//! Moves of keys from overloaded servers to less loaded ones.

use super::Candidate;
use crate::model::KeyRange;
use crate::ownership::KeyLoad;

/// The load from which keys are moved away from a server, as a share of its capacity. Below it a
/// request rarely waits, and a move makes its keys wait for about a second.
const MIN_SOURCE_LOAD: f64 = 0.85;
/// The least difference in load between the source and the target of a move.
const MIN_LOAD_GAP: f64 = 0.3;
/// The difference in load below which the server with the earlier heartbeat may get a range instead of
/// the least loaded one. A range has no owner until the heartbeat of the server that gets it.
const SIMILAR_LOAD: f64 = 0.2;
/// The time from the release of a range until it can be granted, in heartbeats of about a second. The
/// server reports the release within a tenth of a second, and its node and the next owner's node each
/// send a message to the leader.
const HANDOVER_HEARTBEATS: f64 = 0.3;
/// The largest load of a server after it got a range. Moving a single key with more demand than one
/// server's capacity gains nothing and leaves the key without an owner for a while, so its neighbours
/// move instead.
const MAX_TARGET_LOAD: f64 = 1.0;
/// The least share of the wanted load that a run of keys must carry.
const MIN_WANTED_SHARE: f64 = 0.5;
/// The largest share of the load gap between two servers that a run of keys may move if no run levels
/// them. The busier of the two is then less loaded than before.
const MAX_GAP_SHARE: f64 = 0.75;

/// The most ranges that moves leave a server with. A server takes answers of 4 KiB at most, and loses all its
/// keys if a longer one lists them; one range takes up to 48 bytes there.
const MAX_RANGES: usize = 72;
/// How many ranges the server that a run of keys leaves has more, until it has released the run.
const RANGES_OF_SPLIT: usize = 2;

/// A range to be moved.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeyMove {
    /// The keys.
    pub keys: KeyRange,
    /// How many slots of a server of usual speed their requests occupy.
    pub usual_slots: f64,
    /// The index of the server that holds them.
    pub from: usize,
    /// The index of the server that gets them.
    pub to: usize,
}

/// A server as it will be after the moves picked so far.
#[derive(Clone, Debug)]
struct ProjectedServer {
    load: f64,
    /// Its slots, multiplied by the service's mean load if that is above one.
    slots: f64,
    slowness: f64,
    heartbeat_phase: f64,
    cold: bool,
    ranges: usize,
    /// The load of the keys that can still move away from it, without those that it gets from these moves.
    key_loads: Vec<KeyLoad>,
    /// Whether none of its keys is worth a move.
    exhausted: bool,
}

/// Picks at most `max_moves` runs of keys whose moves level the load of a service's servers, each from the
/// busiest server to the least loaded one.
///
/// Several moves are picked at once, because a hot range needs the capacity of several servers, and one
/// move after the other would take longer than it stays hot. The runs are narrow, because requests for
/// every moved key pause for a moment, and a hot range is narrow.
///
/// If the demand on a service exceeds the capacity of all its servers, a server's load is taken relative
/// to the mean. Refused requests come back and are counted again, so otherwise no target would ever have
/// free capacity.
pub fn pick_moves(servers: &[Candidate], max_moves: usize) -> Vec<KeyMove> {
    let scale = mean_load(servers).max(1.0);
    let scaled = servers
        .iter()
        .map(|server| ProjectedServer::new(server, scale));
    let mut projected: Vec<ProjectedServer> = scaled.collect();
    let mut moves = Vec::new();
    while moves.len() < max_moves {
        let Some((from, to)) = widest_gap(&projected) else {
            break;
        };
        match next_move(&projected, from, to) {
            Some(chosen) => {
                apply_move(&mut projected, &chosen);
                moves.push(chosen);
            }
            None => set_exhausted(&mut projected, from),
        }
    }
    moves
}

impl ProjectedServer {
    fn new(server: &Candidate, scale: f64) -> Self {
        Self {
            load: server.load / scale,
            slots: f64::from(server.slots.max(1)) * scale,
            slowness: server.slowness.max(f64::MIN_POSITIVE),
            heartbeat_phase: server.heartbeat_phase,
            cold: server.cold,
            ranges: server.ranges,
            key_loads: server.key_loads.clone(),
            exhausted: false,
        }
    }

    /// Returns how long a range that moves to another server has no owner, in heartbeats.
    fn unowned_time(&self, other: &Self) -> f64 {
        (other.heartbeat_phase - self.heartbeat_phase - HANDOVER_HEARTBEATS).rem_euclid(1.0)
    }

    /// Returns the load that the work of one slot of a server of usual speed adds.
    fn slot_load(&self) -> f64 {
        self.slowness / self.slots
    }
}

fn mean_load(servers: &[Candidate]) -> f64 {
    let total: f64 = servers.iter().map(|server| server.load).sum();
    total / servers.len().max(1) as f64
}

/// Returns the busiest server with keys to move and its target, if the gap between them is worth a move.
fn widest_gap(servers: &[ProjectedServer]) -> Option<(usize, usize)> {
    let all = || servers.iter().enumerate();
    let by_load = |a: &(usize, &ProjectedServer), b: &(usize, &ProjectedServer)| {
        a.1.load.total_cmp(&b.1.load)
    };
    let (from, busiest) = all()
        .filter(|(_, server)| !server.exhausted && server.ranges + RANGES_OF_SPLIT <= MAX_RANGES)
        .max_by(by_load)?;
    let has_room = |server: &ProjectedServer| !server.cold && server.ranges < MAX_RANGES;
    let warm = || all().filter(|(index, server)| has_room(server) && *index != from);
    let (_, least_loaded) = warm().min_by(by_load)?;
    let similar = warm().filter(|(_, server)| server.load <= least_loaded.load + SIMILAR_LOAD);
    let (to, target) = similar.min_by(|(_, a), (_, b)| {
        let unowned = |server: &ProjectedServer| busiest.unowned_time(server) + server.load;
        unowned(a).total_cmp(&unowned(b))
    })?;
    let worthwhile = busiest.load >= MIN_SOURCE_LOAD && busiest.load - target.load >= MIN_LOAD_GAP;
    worthwhile.then_some((from, to))
}

fn next_move(servers: &[ProjectedServer], from: usize, to: usize) -> Option<KeyMove> {
    let (source, target) = (servers.get(from)?, servers.get(to)?);
    // Half the demand for a hot range would make its target the next overloaded server.
    let mean = servers.iter().map(|server| server.load).sum::<f64>() / servers.len() as f64;
    let headroom = (mean - target.load).max(MIN_LOAD_GAP / 2.0) / target.slot_load();
    let level = (source.load - target.load) / (source.slot_load() + target.slot_load());
    let level = level.min((MAX_TARGET_LOAD - target.load) / target.slot_load());
    let wanted = level.min(headroom) * source.slowness;
    let run = narrowest_run(&source.key_loads, wanted, level * source.slowness);
    // A busy key can't be divided. A run that overshoots the level is better than none, as long as the
    // target ends up less loaded than the source was.
    let max_slots = ((source.load - target.load) * MAX_GAP_SHARE)
        .min(MAX_TARGET_LOAD - target.load)
        / target.slot_load();
    let run = run.or_else(|| narrowest_run(&source.key_loads, wanted, max_slots * source.slowness));
    let (keys, slots) = run?;
    Some(KeyMove {
        keys,
        usual_slots: slots / source.slowness,
        from,
        to,
    })
}

fn apply_move(servers: &mut [ProjectedServer], chosen: &KeyMove) {
    if let Some(from) = servers.get_mut(chosen.from) {
        from.load -= chosen.usual_slots * from.slot_load();
        from.ranges += RANGES_OF_SPLIT;
        from.key_loads
            .retain(|load| chosen.keys.common(&load.keys).is_none());
    }
    if let Some(to) = servers.get_mut(chosen.to) {
        to.load += chosen.usual_slots * to.slot_load();
        to.ranges += 1;
    }
}

fn set_exhausted(servers: &mut [ProjectedServer], index: usize) {
    if let Some(server) = servers.get_mut(index) {
        server.exhausted = true;
    }
}

/// Returns the narrowest run of keys that occupies about the wanted number of slots, and the number that
/// it occupies, which is at most `max_slots`. With more, the target would be busier than the
/// source.
fn narrowest_run(key_loads: &[KeyLoad], wanted: f64, max_slots: f64) -> Option<(KeyRange, f64)> {
    let mut best: Option<(KeyRange, f64)> = None;
    for (start, first) in key_loads.iter().enumerate() {
        let mut slots = 0.0;
        let mut end = first.keys;
        for load in key_loads.iter().skip(start) {
            // Keys in a gap belong to another server, or must not move.
            let adjacent = end.last.checked_add(1) == Some(load.keys.first);
            if load.keys != first.keys && !adjacent {
                break;
            }
            end = load.keys;
            slots += load.slots();
            if slots >= wanted * MIN_WANTED_SHARE {
                break;
            }
        }
        let run = KeyRange::new(first.keys.first, end.last)?;
        let fits = slots >= wanted * MIN_WANTED_SHARE && slots <= max_slots;
        if fits && best.is_none_or(|(best, _)| run.size() < best.size()) {
            best = Some((run, slots));
        }
    }
    best
}
