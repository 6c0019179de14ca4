//! What each server is to hold, and for how long.

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;

use super::leader_machine::Leader;
use super::row::RowState;
use crate::model::GrantedRange;
use crate::model::HeldRange;
use crate::ownership::Assignment;
use crate::ownership::LeaseTimes;

impl Leader {
    /// Returns all that a node's server is to hold, or nothing while it is not known what it does.
    pub(super) fn assignment(&self, node: &NodeName) -> Option<Assignment> {
        self.intent.config.as_ref()?;
        let peer = self.peers.get(node)?;
        // A server that has fallen silent is told too: only an order that leaves a range out stops
        // its node from granting it when the server speaks again.
        let server = peer
            .member
            .server
            .as_ref()
            .filter(|server| server.holding_known)?;
        let mut ranges = Vec::new();
        if let Some(ledger) = self.ledgers.get(&peer.member.service) {
            for row in ledger.rows() {
                match &row.state {
                    RowState::Unknown if peer.may_hold(&row.keys) => return None,
                    RowState::Held(tenure) if tenure.node == *node => ranges.push(GrantedRange {
                        held: HeldRange {
                            keys: row.keys,
                            fence: tenure.fence,
                        },
                        handover: tenure.handover.clone(),
                    }),
                    _ => {}
                }
            }
        }
        Some(Assignment {
            server: server.incarnation.clone(),
            ranges,
        })
    }

    /// Tells whether keys are on their way to a node's server.
    pub(super) fn expects(&self, node: &NodeName) -> bool {
        let rows = self.ledgers.values().flat_map(|ledger| ledger.rows());
        rows.filter_map(|row| match &row.state {
            RowState::Leaving { to, .. } => to.as_ref(),
            RowState::Free(freedom) => freedom.to.as_ref(),
            RowState::Unknown | RowState::Held(_) => None,
        })
        .any(|to| to == node)
    }

    pub(super) fn extend(&mut self, now: Moment, node: &NodeName) {
        let lease = self.authority.left(now, &self.times);
        let end = now + LeaseTimes::plus_clock_drift(lease);
        for ledger in self.ledgers.values_mut() {
            for row in ledger.rows_mut() {
                match &mut row.state {
                    // An earlier and longer lease still holds when this one is short.
                    RowState::Held(tenure) if tenure.node == *node => {
                        tenure.until = tenure.until.max(end);
                    }
                    _ => {}
                }
            }
        }
    }
}
