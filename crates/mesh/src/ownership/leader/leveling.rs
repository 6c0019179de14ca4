//! Moving busy keys from full servers to those with room.

use std::time::Duration;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::time::Moment;

use super::leader_machine::Leader;
use super::ledger::Ledger;
use super::row::RowState;
use super::row::Tenure;
use crate::model::KeyRange;
use crate::ownership::KeyLoad;
use crate::placement::Candidate;
use crate::placement::KeyMove;
use crate::placement::pick_moves;

/// How often the load of a service's servers is leveled: as often as their nodes report it.
const LEVEL_PAUSE: Duration = Duration::from_millis(500);
/// How many ranges are moved at once. A range that is hot enough to ask for a third of a service's
/// work needs about as many targets as the service has servers, and each move is two heartbeats.
const MOST_MOVES: usize = 12;
/// How long a move is counted as if it were done: it takes about a second, and as long again until
/// the new holder has counted its requests.
const MOVE_MEMORY: Duration = Duration::from_millis(3_500);

/// The load above which a server is asked for more than it can do.
const FULL: f64 = 1.0;

/// Is a range that was moved for the sake of balance.
#[derive(Clone, Debug)]
pub(super) struct RecentMove {
    pub(super) keys: KeyRange,
    /// How many slots of a usual server its requests keep busy.
    pub(super) work: f64,
    pub(super) to: NodeName,
    at: Moment,
}

impl RecentMove {
    pub(super) fn has(&self, keys: &KeyRange) -> bool {
        self.keys.common(keys).is_some()
    }
}

impl Leader {
    /// Moves narrow ranges from servers that are asked for more than they can do to those with room.
    pub(super) fn level(&mut self, now: Moment, service: &ServiceName, targets: &[NodeName]) {
        let Some(clock) = self.clocks.get_mut(service) else {
            return;
        };
        clock
            .moves
            .retain(|recent| now.since(recent.at) < MOVE_MEMORY);
        if now.since(clock.leveled) < LEVEL_PAUSE {
            return;
        }
        clock.leveled = now;
        let candidates = self.candidates(service, targets);
        let moves = pick_moves(&candidates, MOST_MOVES);
        if moves.is_empty() {
            self.note_unmoved(service, targets, &candidates);
        }
        for chosen in moves {
            self.start_move(now, service, targets, &candidates, &chosen);
        }
    }

    /// Notes the load of all servers if one is asked for more than it can do and nothing moves.
    fn note_unmoved(
        &mut self,
        service: &ServiceName,
        targets: &[NodeName],
        candidates: &[Candidate],
    ) {
        if candidates.iter().all(|server| server.load <= FULL) {
            return;
        }
        let recent = self
            .clocks
            .get(service)
            .map_or(0, |clock| clock.moves.len());
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
        self.notes.push(("keys_not_moved", detail));
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
        let (Some(ledger), Some(clock)) =
            (self.ledgers.get_mut(service), self.clocks.get_mut(service))
        else {
            return;
        };
        let load = |place: usize| candidates.get(place).map_or(0.0, |server| server.load);
        self.notes.push((
            "keys_moved",
            format!(
                "{service} {} from {from}, load {:.2}, to {to}, load {:.2}",
                chosen.keys,
                load(chosen.from),
                load(chosen.to)
            ),
        ));
        clock.moves.push(RecentMove {
            keys: chosen.keys,
            work: chosen.work,
            to: to.clone(),
            at: now,
        });
        for (keys, tenure) in held_by(ledger, from, &chosen.keys) {
            let state = RowState::Leaving {
                tenure,
                since: now.0,
                to: Some(to.clone()),
            };
            ledger.set(keys, state);
        }
    }
}

/// Returns the parts of a range that a node's server holds.
fn held_by(ledger: &Ledger, node: &NodeName, keys: &KeyRange) -> Vec<(KeyRange, Tenure)> {
    let held = ledger.rows().iter().filter_map(|row| {
        let RowState::Held(tenure) = &row.state else {
            return None;
        };
        let keys = row.keys.common(keys)?;
        (tenure.node == *node).then(|| (keys, tenure.clone()))
    });
    held.collect()
}
