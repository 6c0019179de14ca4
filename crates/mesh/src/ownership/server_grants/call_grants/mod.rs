//! Grants of keys by call.
//!
//! The effect of a call is less certain than that of an answer to a heartbeat. The hold counts from the
//! arrival of the call, which the node does not observe. A call that got no response may be carried out
//! seconds later, after later grants and after a release. So each grant has two ends: the server
//! certainly holds the range until `earliest_end`, and may hold it until `latest_end`. See
//! `docs/design/platform.md`.

mod call_grant;
mod called_tokens;
mod outcomes;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use quetzalrack_core::time::Moment;

use call_grant::CallGrant;
use called_tokens::CalledTokens;

use super::KeyCall;
use super::KeyCallId;
use super::KeyRequest;
use super::Lease;
use crate::model::GrantedRange;
use crate::model::HeldRange;
use crate::model::KeyRange;
use crate::model::ServerIncarnation;
use crate::ownership::LeaseTimes;

/// The shortest extension of a grant that is worth a call.
const MIN_EXTENSION: Duration = Duration::from_millis(100);

/// Tracks the grants to the host's backend server and its releases. Grants to earlier incarnations are
/// kept too, since a late call may reach another incarnation at the same address.
#[derive(Clone, Debug, Default)]
pub(in crate::ownership::server_grants) struct CallGrants {
    last_id: u64,
    grants: Vec<CallGrant>,
    pending: BTreeMap<KeyCallId, PendingCall>,
    called: CalledTokens,
    /// Grants that need a higher token, since the server refused this one or no connection may carry it; they are
    /// not requested again.
    stale_grants: Vec<HeldRange>,
    /// When releases may be requested again after one failed.
    release_after: Moment,
    /// When ranges that are not held may be requested again after a grant was not sent.
    grant_after: Moment,
    /// When the heartbeat arrived that let connections be used.
    heartbeat_at: Moment,
}

#[derive(Clone, Debug)]
struct PendingCall {
    held: HeldRange,
    incarnation: ServerIncarnation,
    asked_at: Moment,
    /// What was known of the grant before this call was sent; none for a release.
    prior: Option<PriorGrant>,
}

#[derive(Clone, Copy, Debug)]
struct PriorGrant {
    /// The latest end of the hold without this call.
    latest_end: Moment,
}

impl CallGrants {
    /// Returns the calls that the lease requires now; without a lease everything is released. `heartbeat_at` is
    /// when the newest heartbeat of the incarnation arrived.
    pub(in crate::ownership::server_grants) fn due_calls(
        &mut self,
        now: Moment,
        incarnation: &ServerIncarnation,
        address: SocketAddr,
        heartbeat_at: Moment,
        lease: Option<&Lease>,
        times: &LeaseTimes,
    ) -> Vec<KeyCall> {
        self.grants.retain(|grant| now < grant.latest_end);
        self.called.set_incarnation(incarnation);
        if self.heartbeat_at != heartbeat_at {
            self.heartbeat_at = heartbeat_at;
            self.grant_after = now;
        }
        let ranges = lease.map_or(&[][..], |lease| &lease.assignment.ranges);
        let mut calls = self.due_releases(now, incarnation, ranges);
        if let Some(lease) = lease {
            for range in ranges {
                calls.extend(self.due_grant(now, incarnation, range, lease.until, times));
            }
        }
        let key_call = |(id, request)| {
            let called = match &request {
                KeyRequest::Grant { range, .. } => self.called.opened_before(&range.held),
                KeyRequest::Release(_) => None,
            };
            KeyCall {
                id,
                address,
                opened_before: called.unwrap_or(heartbeat_at),
                request,
            }
        };
        calls.into_iter().map(key_call).collect()
    }

    /// Returns everything that an incarnation of the server may hold.
    pub(in crate::ownership::server_grants) fn holding(
        &self,
        now: Moment,
        incarnation: &ServerIncarnation,
    ) -> Vec<HeldRange> {
        let own = |grant: &&CallGrant| now < grant.latest_end && grant.incarnation == *incarnation;
        self.grants
            .iter()
            .filter(own)
            .map(|grant| grant.held)
            .collect()
    }

    /// Returns the grants to earlier incarnations that may have reached this one.
    pub(in crate::ownership::server_grants) fn earlier_grants(
        &self,
        now: Moment,
        incarnation: &ServerIncarnation,
    ) -> Vec<HeldRange> {
        let other =
            |grant: &&CallGrant| now < grant.latest_end && grant.incarnation != *incarnation;
        self.grants
            .iter()
            .filter(other)
            .map(|grant| grant.held)
            .collect()
    }

    /// Returns the grants among `ranges` that the server refused because it has seen a higher token.
    pub(in crate::ownership::server_grants) fn stale_grants(
        &self,
        ranges: &[GrantedRange],
    ) -> Vec<HeldRange> {
        let wanted = |held: &&HeldRange| ranges.iter().any(|range| range.held == **held);
        self.stale_grants.iter().filter(wanted).copied().collect()
    }

    /// Returns the parts of `ranges` that the server certainly holds, each with the earliest end of the hold.
    pub(in crate::ownership::server_grants) fn serving(
        &self,
        now: Moment,
        incarnation: &ServerIncarnation,
        ranges: &[GrantedRange],
    ) -> Vec<(HeldRange, Moment)> {
        let mut serving: Vec<(HeldRange, Moment)> = Vec::new();
        for range in ranges {
            let fits = |grant: &&CallGrant| {
                now < grant.earliest_end
                    && !grant.released
                    && grant.incarnation == *incarnation
                    && grant.held.fence == range.held.fence
            };
            let mut fitting: Vec<&CallGrant> = self.grants.iter().filter(fits).collect();
            fitting.sort_by_key(|grant| std::cmp::Reverse(grant.earliest_end));
            let mut uncovered = vec![range.held.keys];
            for grant in fitting {
                let held = uncovered
                    .iter()
                    .filter_map(|keys| keys.common(&grant.held.keys));
                serving.extend(held.map(|keys| {
                    let held = HeldRange { keys, ..range.held };
                    (held, grant.earliest_end)
                }));
                uncovered = without(&uncovered, &grant.held.keys);
            }
        }
        serving
    }

    /// Returns release calls for the ranges that the lease no longer lists.
    fn due_releases(
        &mut self,
        now: Moment,
        incarnation: &ServerIncarnation,
        ranges: &[GrantedRange],
    ) -> Vec<(KeyCallId, KeyRequest)> {
        if now < self.release_after {
            return Vec::new();
        }
        let unreleased = |grant: &&CallGrant| grant.incarnation == *incarnation && !grant.released;
        let mut held: Vec<HeldRange> = self
            .grants
            .iter()
            .filter(unreleased)
            .map(|grant| grant.held)
            .collect();
        // A release with a lower token can leave a grant with a higher token in force.
        held.sort_by_key(|held| std::cmp::Reverse(held.fence));
        let mut unwanted: Vec<HeldRange> = Vec::new();
        for held in held {
            let mut parts = vec![held.keys];
            for range in ranges {
                parts = without(&parts, &range.held.keys);
            }
            for earlier in &unwanted {
                parts = without(&parts, &earlier.keys);
            }
            let parts = parts.into_iter().map(|keys| HeldRange { keys, ..held });
            unwanted.extend(parts);
        }
        // The server could carry out a pending grant after the release, so the release waits for its outcome.
        unwanted.retain(|held| !self.is_pending(&held.keys));
        let release = |held: HeldRange| {
            let id = self.add_pending(now, held, incarnation, None);
            (id, KeyRequest::Release(held))
        };
        unwanted.into_iter().map(release).collect()
    }

    /// Returns a grant call for a range of the lease, unless the server holds the range long enough.
    fn due_grant(
        &mut self,
        now: Moment,
        incarnation: &ServerIncarnation,
        range: &GrantedRange,
        end: Moment,
        times: &LeaseTimes,
    ) -> Option<(KeyCallId, KeyRequest)> {
        let held = range.held;
        if self.stale_grants.contains(&held) || self.is_pending(&held.keys) {
            return None;
        }
        let time = times.call_hold(now, end)?;
        let known = self.find(&held, incarnation);
        if known.is_none() && now < self.grant_after {
            return None;
        }
        if let Some(grant) = known {
            let longer = (now + time).since(grant.earliest_end) >= MIN_EXTENSION;
            if now < grant.renew_at || !longer {
                return None;
            }
        }
        let prior = PriorGrant {
            latest_end: known.map_or(now, |grant| grant.latest_end),
        };
        match self.find_mut(&held, incarnation) {
            Some(grant) => grant.latest_end = grant.latest_end.max(end),
            None => self.grants.push(CallGrant {
                held,
                incarnation: incarnation.clone(),
                latest_end: end,
                earliest_end: Moment::default(),
                unanswered_until: Moment::default(),
                released: false,
                renew_at: now,
            }),
        }
        let id = self.add_pending(now, held, incarnation, Some(prior));
        let range = range.clone();
        Some((id, KeyRequest::Grant { range, end }))
    }

    fn add_pending(
        &mut self,
        asked_at: Moment,
        held: HeldRange,
        incarnation: &ServerIncarnation,
        prior: Option<PriorGrant>,
    ) -> KeyCallId {
        self.last_id += 1;
        let id = KeyCallId(self.last_id);
        let incarnation = incarnation.clone();
        self.pending.insert(
            id,
            PendingCall {
                held,
                incarnation,
                asked_at,
                prior,
            },
        );
        id
    }

    fn is_pending(&self, keys: &KeyRange) -> bool {
        let mut pending = self.pending.values();
        pending.any(|pending| pending.held.keys.common(keys).is_some())
    }

    fn find(&self, held: &HeldRange, incarnation: &ServerIncarnation) -> Option<&CallGrant> {
        let mut grants = self.grants.iter();
        grants.find(|grant| grant.held == *held && grant.incarnation == *incarnation)
    }

    fn find_mut(
        &mut self,
        held: &HeldRange,
        incarnation: &ServerIncarnation,
    ) -> Option<&mut CallGrant> {
        let mut grants = self.grants.iter_mut();
        grants.find(|grant| grant.held == *held && grant.incarnation == *incarnation)
    }
}

fn without(parts: &[KeyRange], keys: &KeyRange) -> Vec<KeyRange> {
    let left = parts.iter().flat_map(|part| part.without(keys));
    left.flatten().collect()
}
