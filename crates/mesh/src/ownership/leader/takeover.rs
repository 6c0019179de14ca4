//! Accounting for the grants of earlier leaders.

use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::time::Moment;

use super::leader_machine::Peers;
use super::ledger::Ledger;
use super::peer::Peer;
use super::row::Row;
use super::row::RowState;
use super::row::Tenure;
use crate::model::HeldRange;
use crate::model::KeyRange;
use crate::ownership::LeaderRecord;
use crate::ownership::LeaseTimes;
use crate::ownership::ServerInfo;

/// Follows what is known of earlier leaders' grants.
///
/// A range that nobody reports may still be held under the lease of an earlier leader. It becomes
/// free when every voter has accounted for what its server holds; or when the earlier leader must
/// have lost its authority and every lease from it has ended.
#[derive(Clone, Debug)]
pub(super) struct Takeover {
    /// When the claim was known to stand; earlier leaders' confirmations by the store are older.
    claimed: Moment,
    /// The record that this leader succeeded.
    last: Option<LeaderRecord>,
    /// Since when a majority of the voters has followed this leader.
    majority: Option<Moment>,
}

impl Takeover {
    pub(super) fn new(claimed: Moment, last: Option<LeaderRecord>) -> Self {
        Self {
            claimed,
            last,
            majority: None,
        }
    }

    /// Learns whether a majority of the voters follows this leader now. Older words do not add up:
    /// a voter that has restarted since may have followed the earlier leader again.
    pub(super) fn note_majority(&mut self, now: Moment, peers: &Peers, times: &LeaseTimes) {
        let Some(last) = &self.last else {
            return;
        };
        if self.majority.is_some() || last.voters.is_empty() {
            return;
        }
        let follows = |node| {
            let peer = peers.get(node);
            peer.and_then(|peer| peer.heard_at)
                .is_some_and(|at| now.since(at) < times.lease)
        };
        let count = last
            .voters
            .iter()
            .filter(|voter| follows(&voter.node))
            .count();
        if count >= last.majority() {
            self.majority = Some(now);
        }
    }

    /// Takes over what nodes report, where it is sure that no earlier leader can have given it to
    /// another; `over` says that this holds for everything.
    pub(super) fn adopt(
        &self,
        now: Moment,
        peers: &Peers,
        times: &LeaseTimes,
        over: bool,
        ledger: &mut Ledger,
        service: &ServiceName,
    ) {
        // The earlier leader gives a lapsed lease's keys away only after a confirmation that is
        // younger than the lapse. Voters who followed this leader before the lease's end never
        // gave one.
        let in_time = |end: Moment| self.majority.is_some_and(|since| since < end) && now < end;
        let accounted = peers
            .values()
            .filter(|peer| peer.member.service == *service && peer.is_accounted())
            .filter(|peer| over || peer.lease_end.is_some_and(in_time));
        let mut reported: Vec<(HeldRange, bool, &Peer)> = accounted
            .flat_map(|peer| {
                let own = peer.holding.iter().map(move |held| (*held, true, peer));
                let rest = peer.leftover.iter().map(move |held| (*held, false, peer));
                own.chain(rest)
            })
            .collect();
        // Were two to report a range, the one with the lower token has lost it.
        reported.sort_by_key(|(held, ..)| std::cmp::Reverse(held.fence));
        for (held, own, peer) in reported {
            let server = peer.member.server.as_ref();
            let tenure = Tenure {
                node: peer.member.incarnation.node.clone(),
                server: server.map(|server| server.incarnation.clone()),
                fence: held.fence,
                handover: None,
                until: now + LeaseTimes::plus_clock_drift(times.lease),
            };
            // A server that does not speak can't be renewed, and another life's grant must not be; its keys are free once it lost them.
            let state = match own && server.is_some_and(ServerInfo::is_grantable) {
                true => RowState::Held(tenure),
                false => RowState::leaving(now, &tenure),
            };
            for keys in unknown_parts(ledger, &held) {
                ledger.set(keys, state.clone());
            }
        }
    }

    /// Tells whether ranges that nobody has reported are free.
    pub(super) fn is_over(&self, now: Moment, peers: &Peers, times: &LeaseTimes) -> bool {
        let Some(last) = &self.last else {
            return true;
        };
        let known = |node| {
            peers
                .get(node)
                .is_some_and(|peer| peer.is_heard(now) && peer.is_accounted())
        };
        if last.voters.iter().all(|voter| known(&voter.node)) {
            return true;
        }
        let lease = LeaseTimes::plus_clock_drift(times.lease);
        let ended = |since: Moment| now.since(since) >= lease;
        // Until the claim the store may have confirmed a leader that acts on its word alone.
        let by_store = !last.store_suffices || ended(self.claimed);
        let by_majority = deserted(last, peers).is_some_and(ended);
        let storeless = LeaseTimes::plus_clock_drift(times.store_grace + times.lease);
        (by_majority && by_store) || now.since(self.claimed) >= storeless
    }
}

/// Returns a moment after which no earlier leader has had a majority of the voters: by then so many of
/// them had obeyed one for the last time, and they follow this leader now.
fn deserted(last: &LeaderRecord, peers: &Peers) -> Option<Moment> {
    let left = |node| peers.get(node).and_then(|peer| peer.obeyed_other);
    let mut moments: Vec<Moment> = last
        .voters
        .iter()
        .filter_map(|voter| left(&voter.node))
        .collect();
    moments.sort_unstable();
    moments.get(last.majority().checked_sub(1)?).copied()
}

/// Returns the parts of a reported range of which nothing was known.
fn unknown_parts(ledger: &Ledger, held: &HeldRange) -> Vec<KeyRange> {
    let unknown = |row: &&Row| matches!(row.state, RowState::Unknown);
    let rows = ledger.rows().iter().filter(unknown);
    rows.filter_map(|row| row.keys.common(&held.keys)).collect()
}
