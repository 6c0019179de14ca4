//! Accounts for the grants of earlier leaders.

use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::time::Moment;

use super::leader_machine::Peers;
use super::peer::Peer;
use super::range_entry::RangeEntry;
use super::range_entry::RangeLease;
use super::range_entry::RangeState;
use super::range_map::RangeMap;
use crate::model::HeldRange;
use crate::model::KeyRange;
use crate::ownership::LeaderRecord;
use crate::ownership::LeaseTimes;
use crate::ownership::ServerInfo;

/// What is known of the grants of earlier leaders.
///
/// A range that no node reports may still be held under the lease of an earlier leader. It becomes
/// free when every voter has reported what its server holds, or when the earlier leader must have
/// lost its authority and every lease from it has ended.
#[derive(Clone, Debug)]
pub(super) struct Takeover {
    /// When the claim was known to stand; confirmations of earlier leaders by the store are older.
    claimed_at: Moment,
    /// The record that this leader's claim succeeded.
    previous: Option<LeaderRecord>,
    /// Since when a majority of the voters has followed this leader.
    majority_since: Option<Moment>,
}

impl Takeover {
    pub(super) fn new(claimed_at: Moment, previous: Option<LeaderRecord>) -> Self {
        Self {
            claimed_at,
            previous,
            majority_since: None,
        }
    }

    /// Records whether a majority of the voters follows this leader now. Older heartbeats don't add
    /// up to a majority: a voter that has restarted since may have followed the earlier leader
    /// again.
    pub(super) fn update_majority(&mut self, now: Moment, peers: &Peers, times: &LeaseTimes) {
        let Some(previous) = &self.previous else {
            return;
        };
        if self.majority_since.is_some() || previous.voters.is_empty() {
            return;
        }
        let follows = |node| {
            let peer = peers.get(node);
            peer.and_then(|peer| peer.last_heartbeat)
                .is_some_and(|at| now.since(at) < times.lease)
        };
        let count = previous
            .voters
            .iter()
            .filter(|voter| follows(&voter.node))
            .count();
        if count >= previous.majority() {
            self.majority_since = Some(now);
        }
    }

    /// Adopts reported ranges that no earlier leader can have granted to another server; `complete`
    /// says that this holds for all of them.
    pub(super) fn adopt_reports(
        &self,
        now: Moment,
        peers: &Peers,
        times: &LeaseTimes,
        complete: bool,
        range_map: &mut RangeMap,
        service: &ServiceName,
    ) {
        // The earlier leader grants the keys of a lapsed lease again only after a confirmation that
        // is newer than the lapse. Voters that followed this leader before the lease ended never
        // sent one.
        let in_time =
            |end: Moment| self.majority_since.is_some_and(|since| since < end) && now < end;
        let accounted = peers
            .values()
            .filter(|peer| peer.member.service == *service && peer.is_accounted_for())
            .filter(|peer| complete || peer.lease_end.is_some_and(in_time));
        let mut reported: Vec<(HeldRange, bool, &Peer)> = accounted
            .flat_map(|peer| {
                let own = peer.holding.iter().map(move |held| (*held, true, peer));
                let earlier = peer
                    .earlier_grants
                    .iter()
                    .map(move |held| (*held, false, peer));
                own.chain(earlier)
            })
            .collect();
        // If two nodes report a range, the one with the lower token has lost it.
        reported.sort_by_key(|(held, ..)| std::cmp::Reverse(held.fence));
        for (held, own, peer) in reported {
            let server = peer.member.server.as_ref();
            let lease = RangeLease {
                node: peer.member.incarnation.node.clone(),
                server: server.map(|server| server.incarnation.clone()),
                fence: held.fence,
                handover: None,
                expires_at: now + LeaseTimes::plus_clock_drift(times.lease),
            };
            // The lease of a silent server can't be renewed, and the grant of another incarnation
            // must not be. Their keys are free once the server has lost them.
            let state = match own && server.is_some_and(ServerInfo::is_grantable) {
                true => RangeState::Held(lease),
                false => RangeState::releasing(now, &lease),
            };
            for keys in unknown_parts(range_map, &held) {
                range_map.set(keys, state.clone());
            }
        }
    }

    /// Tells whether ranges that no node has reported are free.
    pub(super) fn is_complete(&self, now: Moment, peers: &Peers, times: &LeaseTimes) -> bool {
        let Some(previous) = &self.previous else {
            return true;
        };
        let accounted_for = |node| {
            peers
                .get(node)
                .is_some_and(|peer| peer.is_responsive(now) && peer.is_accounted_for())
        };
        if previous
            .voters
            .iter()
            .all(|voter| accounted_for(&voter.node))
        {
            return true;
        }
        let lease = LeaseTimes::plus_clock_drift(times.lease);
        let ended = |since: Moment| now.since(since) >= lease;
        // Until the claim, the store may have confirmed a leader that acts on the store alone.
        let by_store = !previous.store_suffices || ended(self.claimed_at);
        let by_majority = lost_majority_at(previous, peers).is_some_and(ended);
        let max_wait = LeaseTimes::plus_clock_drift(times.store_grace + times.lease);
        (by_majority && by_store) || now.since(self.claimed_at) >= max_wait
    }
}

/// Returns a moment after which no earlier leader has had a majority of the voters: by then, enough
/// of them had obeyed an earlier leader for the last time, and they follow this leader now.
fn lost_majority_at(previous: &LeaderRecord, peers: &Peers) -> Option<Moment> {
    let last_obeyed = |node| peers.get(node).and_then(|peer| peer.obeyed_previous);
    let mut moments: Vec<Moment> = previous
        .voters
        .iter()
        .filter_map(|voter| last_obeyed(&voter.node))
        .collect();
    moments.sort_unstable();
    moments.get(previous.majority().checked_sub(1)?).copied()
}

/// Returns the parts of a reported range whose holder was unknown.
fn unknown_parts(range_map: &RangeMap, held: &HeldRange) -> Vec<KeyRange> {
    let unknown = |entry: &&RangeEntry| matches!(entry.state, RangeState::Unknown);
    let entries = range_map.entries().iter().filter(unknown);
    entries
        .filter_map(|entry| entry.keys.common(&held.keys))
        .collect()
}
