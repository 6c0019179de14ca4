//! Moves keys from overloaded servers to servers with free capacity.

use std::time::Duration;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::time::Moment;

use super::leader_machine::Leader;
use super::range_entry::RangeLease;
use super::range_entry::RangeState;
use super::range_map::RangeMap;
use crate::model::KeyRange;
use crate::ownership::KeyLoad;
use crate::placement::Candidate;
use crate::placement::KeyMove;
use crate::placement::pick_moves;

/// The interval of rebalancing: as often as the nodes report the load of their keys.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(500);
/// The number of ranges that move at once. A range that is hot enough to need a third of a
/// service's capacity has to be spread over about as many targets as the service has servers, and
/// each move takes two heartbeats.
const MAX_MOVES: usize = 12;
/// How long a move is treated as complete: it takes about a second, and as long again until the new
/// holder has counted its requests.
const MOVE_RETENTION: Duration = Duration::from_millis(3_500);

/// The load above which a server is asked for more than it can do.
const FULL_LOAD: f64 = 1.0;

/// A range that was moved to balance the load.
#[derive(Clone, Debug)]
pub(super) struct RecentMove {
    pub(super) keys: KeyRange,
    /// How many slots of a server of usual speed its requests occupy.
    pub(super) usual_slots: f64,
    pub(super) target: NodeName,
    moved_at: Moment,
}

impl RecentMove {
    pub(super) fn overlaps(&self, keys: &KeyRange) -> bool {
        self.keys.common(keys).is_some()
    }
}

impl Leader {
    /// Moves narrow ranges from servers that are asked for more than they can do to servers with
    /// free capacity.
    pub(super) fn rebalance(&mut self, now: Moment, service: &ServiceName, targets: &[NodeName]) {
        let Some(placement) = self.placements.get_mut(service) else {
            return;
        };
        placement
            .moves
            .retain(|recent| now.since(recent.moved_at) < MOVE_RETENTION);
        if now.since(placement.rebalanced_at) < REBALANCE_INTERVAL {
            return;
        }
        placement.rebalanced_at = now;
        let candidates = self.candidates(service, targets);
        let moves = pick_moves(&candidates, MAX_MOVES);
        if moves.is_empty() {
            self.log_unmoved(service, targets, &candidates);
        }
        for chosen in moves {
            self.start_move(now, service, targets, &candidates, &chosen);
        }
    }

    /// Logs the load of all servers if one is asked for more than it can do and nothing moves.
    fn log_unmoved(
        &mut self,
        service: &ServiceName,
        targets: &[NodeName],
        candidates: &[Candidate],
    ) {
        if candidates.iter().all(|server| server.load <= FULL_LOAD) {
            return;
        }
        let recent = self
            .placements
            .get(service)
            .map_or(0, |placement| placement.moves.len());
        let described = targets.iter().zip(candidates).map(|(node, server)| {
            let parts = server.key_loads.iter().map(KeyLoad::slots);
            format!(
                "{node} load {:.2} slots {} parts {} least {:.2}",
                server.load,
                server.slots,
                server.key_loads.len(),
                parts.fold(f64::INFINITY, f64::min),
            )
        });
        let described: Vec<String> = described.collect();
        let detail = format!("{service}: {}; {recent} recent moves", described.join(", "));
        self.log_entries.push(("keys_not_moved", detail));
    }

    fn start_move(
        &mut self,
        now: Moment,
        service: &ServiceName,
        targets: &[NodeName],
        candidates: &[Candidate],
        chosen: &KeyMove,
    ) {
        let (Some(from), Some(to)) = (targets.get(chosen.from), targets.get(chosen.to)) else {
            return;
        };
        let (Some(range_map), Some(placement)) = (
            self.range_maps.get_mut(service),
            self.placements.get_mut(service),
        ) else {
            return;
        };
        let load = |index: usize| candidates.get(index).map_or(0.0, |server| server.load);
        self.log_entries.push((
            "keys_moved",
            format!(
                "{service} {} from {from}, load {:.2}, to {to}, load {:.2}",
                chosen.keys,
                load(chosen.from),
                load(chosen.to)
            ),
        ));
        placement.moves.push(RecentMove {
            keys: chosen.keys,
            usual_slots: chosen.usual_slots,
            target: to.clone(),
            moved_at: now,
        });
        for (keys, lease) in held_by(range_map, from, &chosen.keys) {
            let state = RangeState::Releasing {
                lease,
                since: now.0,
                target: Some(to.clone()),
            };
            range_map.set(keys, state);
        }
    }
}

/// Returns the parts of a range that a node's server holds.
fn held_by(range_map: &RangeMap, node: &NodeName, keys: &KeyRange) -> Vec<(KeyRange, RangeLease)> {
    let held = range_map.entries().iter().filter_map(|entry| {
        let RangeState::Held(lease) = &entry.state else {
            return None;
        };
        let keys = entry.keys.common(keys)?;
        (lease.node == *node).then(|| (keys, lease.clone()))
    });
    held.collect()
}
