//! What becomes of ranges: released, lapsed, or accounted for after a takeover.

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;

use super::leader_machine::Leader;
use super::ledger::Ledger;
use super::row::Freedom;
use super::row::Row;
use super::row::RowState;
use crate::model::Granting;
use crate::model::HeldRange;
use crate::ownership::NodeHeartbeat;

impl Leader {
    /// Follows what a node's server has released, and what ended with an earlier life of it.
    pub(super) fn settle_rows(&mut self, now: Moment, node: &NodeName, beat: &NodeHeartbeat) {
        let Some(ledger) = self.ledgers.get_mut(&beat.member.service) else {
            return;
        };
        for row in ledger.rows_mut() {
            let tenure = row.state.tenure();
            if tenure.is_some_and(|tenure| tenure.node == *node)
                && let Some(state) = settled(now, row, beat)
            {
                row.state = state;
            }
        }
    }

    /// Gives a higher token to what a node's server refused: it has seen one above ours on these keys.
    pub(super) fn outbid(&mut self, node: &NodeName, beat: &NodeHeartbeat) {
        let Some(ledger) = self.ledgers.get_mut(&beat.member.service) else {
            return;
        };
        for row in ledger.rows_mut() {
            let RowState::Held(tenure) = &mut row.state else {
                continue;
            };
            let refused = |held: &HeldRange| {
                held.fence == tenure.fence && held.keys.common(&row.keys).is_some()
            };
            if tenure.node == *node && beat.stale_grants.iter().any(refused) {
                self.fence = self.fence.next();
                let detail = format!("{} at {node}, now token {}", row.keys, self.fence);
                self.notes.push(("grant_outbid", detail));
                tenure.fence = self.fence;
            }
        }
    }

    /// Ends what was not renewed in time.
    pub(super) fn lapse(&mut self, now: Moment) {
        for ledger in self.ledgers.values_mut() {
            for row in ledger.rows_mut() {
                let Some(until) = row.state.tenure().map(|tenure| tenure.until) else {
                    continue;
                };
                if now > until {
                    row.state = RowState::Free(Freedom {
                        lapsed: Some(now),
                        handover: None,
                        to: None,
                    });
                }
            }
            ledger.merge();
        }
    }

    /// Accounts for the grants of earlier leaders.
    pub(super) fn account(&mut self, now: Moment) {
        self.open_ledgers();
        let Some(takeover) = &self.takeover else {
            return;
        };
        // Without a configuration it is not known which services are divided by key.
        let known = self.intent.config.is_some();
        let over = known && takeover.is_over(now, &self.peers, &self.times);
        for (service, ledger) in &mut self.ledgers {
            takeover.adopt(now, &self.peers, &self.times, over, ledger, service);
        }
        if !over {
            return;
        }
        for ledger in self.ledgers.values_mut() {
            for row in ledger.rows_mut() {
                if row.state == RowState::Unknown {
                    row.state = RowState::free();
                }
            }
            ledger.merge();
        }
        self.takeover = None;
        let detail = format!("{} nodes heard", self.responsive_members(now).count());
        self.notes.push(("takeover_complete", detail));
    }

    pub(super) fn open_ledgers(&mut self) {
        let Some(config) = &self.intent.config else {
            return;
        };
        let keyed = config.services.iter().filter(|(_, service)| service.keyed);
        for (name, _) in keyed {
            // A service that is first divided by key after all grants were accounted for has none.
            let start = match self.takeover.is_some() {
                true => RowState::Unknown,
                false => RowState::free(),
            };
            self.ledgers
                .entry(name.clone())
                .or_insert_with(|| Ledger::new(start));
        }
    }
}

/// Returns what becomes of a range of the node that sent a beat, if anything does.
fn settled(now: Moment, row: &Row, beat: &NodeHeartbeat) -> Option<RowState> {
    let server = beat.member.server.as_ref();
    let life = row.state.tenure()?.server.as_ref();
    let reborn = server.is_some_and(|server| life.is_some_and(|life| *life != server.incarnation));
    let mut reported = beat.holding.iter().chain(&beat.earlier_grants);
    let held = reported.any(|held| held.keys.common(&row.keys).is_some());
    // A call to the earlier life may have reached the present one.
    let clean = beat.granting == Granting::ByHeartbeat || (beat.holding_complete && !held);
    match &row.state {
        // One host runs one life of its server, so the earlier one is gone.
        _ if reborn && clean => Some(RowState::free()),
        RowState::Held(tenure) if reborn => Some(RowState::leaving(now, tenure)),
        // A restarted node that has not heard its server yet reports nothing held, and its server
        // goes on holding what the node's earlier life granted.
        _ if !beat.holding_complete => None,
        RowState::Held(tenure) if server.is_none_or(|server| server.silent) => {
            Some(RowState::leaving(now, tenure))
        }
        RowState::Leaving { since, to, .. } => {
            let applied = beat.applied_reply.is_some_and(|stamp| stamp >= *since);
            (applied && !held).then(|| RowState::Free(released(row, to.clone(), beat)))
        }
        _ => None,
    }
}

/// Says how a range became free that its server has released.
fn released(row: &Row, to: Option<NodeName>, beat: &NodeHeartbeat) -> Freedom {
    let freed = beat.released.iter().rev();
    let mut freed = freed.filter(|freed| freed.keys.common(&row.keys) == Some(row.keys));
    Freedom {
        lapsed: None,
        handover: freed.next().map(|freed| freed.handover.clone()),
        to,
    }
}
