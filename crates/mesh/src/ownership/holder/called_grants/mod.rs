//! What a backend server holds by calls.
//!
//! A call is not as certain as the answer to a heartbeat: its hold counts from an arrival that the
//! node does not see, and a call without an answer may be obeyed seconds later, after later grants and
//! after a release. So each grant has two ends: until `serves` the server holds it for certain, until
//! `until` it may. See `docs/design/platform.md`.

mod called_grant;
mod outcomes;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use quetzalrack_core::time::Moment;

use called_grant::CalledGrant;

use super::KeyCall;
use super::KeyCallId;
use super::KeyRequest;
use super::Lease;
use crate::model::GrantedRange;
use crate::model::HeldRange;
use crate::model::KeyRange;
use crate::model::ServerLife;
use crate::ownership::LeaseTimes;

/// How much longer a grant must become to be worth a call.
const WORTHWHILE: Duration = Duration::from_millis(100);

/// Follows the grants and releases of one host's backend server, its earlier lives included: a late
/// call may reach another life at the same address.
#[derive(Clone, Debug, Default)]
pub(in crate::ownership::holder) struct CalledGrants {
    next: u64,
    grants: Vec<CalledGrant>,
    pending: BTreeMap<KeyCallId, Pending>,
    /// Grants that the server refused for a higher token; they are never asked for again.
    outbid: Vec<HeldRange>,
    /// When a failed release may be asked for again.
    release_after: Moment,
}

#[derive(Clone, Debug)]
struct Pending {
    held: HeldRange,
    life: ServerLife,
    /// What was known of the grant before a grant was sent; none for a release.
    before: Option<Before>,
}

#[derive(Clone, Copy, Debug)]
struct Before {
    /// Until when the server may have held it already.
    until: Moment,
}

impl CalledGrants {
    /// Returns the calls that a lease asks for now; without one everything is released.
    pub(in crate::ownership::holder) fn plan(
        &mut self,
        now: Moment,
        life: &ServerLife,
        address: SocketAddr,
        heard: Moment,
        lease: Option<&Lease>,
        times: &LeaseTimes,
    ) -> Vec<KeyCall> {
        self.grants.retain(|grant| now < grant.until);
        let ranges = lease.map_or(&[][..], |lease| &lease.assignment.ranges);
        let mut calls = self.releases(now, life, ranges);
        if let Some(lease) = lease {
            for range in ranges {
                calls.extend(self.renewal(now, life, range, lease.until, times));
            }
        }
        let number = |(id, request)| KeyCall {
            id,
            address,
            heard,
            request,
        };
        calls.into_iter().map(number).collect()
    }

    /// Returns everything that a life of the server may hold.
    pub(in crate::ownership::holder) fn holding(
        &self,
        now: Moment,
        life: &ServerLife,
    ) -> Vec<HeldRange> {
        let own = |grant: &&CalledGrant| now < grant.until && grant.life == *life;
        self.grants
            .iter()
            .filter(own)
            .map(|grant| grant.held)
            .collect()
    }

    /// Returns what was granted to earlier lives, and may have reached this one.
    pub(in crate::ownership::holder) fn leftover(
        &self,
        now: Moment,
        life: &ServerLife,
    ) -> Vec<HeldRange> {
        let other = |grant: &&CalledGrant| now < grant.until && grant.life != *life;
        self.grants
            .iter()
            .filter(other)
            .map(|grant| grant.held)
            .collect()
    }

    /// Returns the grants that the server refused for a higher token, among those of the lease.
    pub(in crate::ownership::holder) fn outbid(&self, ranges: &[GrantedRange]) -> Vec<HeldRange> {
        let wanted = |held: &&HeldRange| ranges.iter().any(|range| range.held == **held);
        self.outbid.iter().filter(wanted).copied().collect()
    }

    /// Returns the parts of the wanted ranges that the server holds for certain, each with its end.
    pub(in crate::ownership::holder) fn serving(
        &self,
        now: Moment,
        life: &ServerLife,
        ranges: &[GrantedRange],
    ) -> Vec<(HeldRange, Moment)> {
        let mut serving: Vec<(HeldRange, Moment)> = Vec::new();
        for range in ranges {
            let fits = |grant: &&CalledGrant| {
                now < grant.serves
                    && !grant.released
                    && grant.life == *life
                    && grant.held.fence == range.held.fence
            };
            let mut fitting: Vec<&CalledGrant> = self.grants.iter().filter(fits).collect();
            fitting.sort_by_key(|grant| std::cmp::Reverse(grant.serves));
            let mut open = vec![range.held.keys];
            for grant in fitting {
                let held = open.iter().filter_map(|keys| keys.common(&grant.held.keys));
                serving.extend(held.map(|keys| {
                    let held = HeldRange { keys, ..range.held };
                    (held, grant.serves)
                }));
                open = without(&open, &grant.held.keys);
            }
        }
        serving
    }

    /// Asks for what the lease does not name any more.
    fn releases(
        &mut self,
        now: Moment,
        life: &ServerLife,
        ranges: &[GrantedRange],
    ) -> Vec<(KeyCallId, KeyRequest)> {
        if now < self.release_after {
            return Vec::new();
        }
        let open = |grant: &&CalledGrant| grant.life == *life && !grant.released;
        let mut held: Vec<HeldRange> = self
            .grants
            .iter()
            .filter(open)
            .map(|grant| grant.held)
            .collect();
        // A release with a lower token may leave a grant with a higher one in force.
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
        // A grant on its way could be obeyed after the release; its end is waited for.
        unwanted.retain(|held| !self.is_pending(&held.keys));
        let release = |held: HeldRange| {
            let id = self.open_call(held, life, None);
            (id, KeyRequest::Release(held))
        };
        unwanted.into_iter().map(release).collect()
    }

    /// Asks for a range of the lease, unless the server holds it for long enough.
    fn renewal(
        &mut self,
        now: Moment,
        life: &ServerLife,
        range: &GrantedRange,
        end: Moment,
        times: &LeaseTimes,
    ) -> Option<(KeyCallId, KeyRequest)> {
        let held = range.held;
        if self.outbid.contains(&held) || self.is_pending(&held.keys) {
            return None;
        }
        let time = times.call_hold(now, end)?;
        let known = self.find(&held, life);
        if let Some(grant) = known {
            let longer = (now + time).since(grant.serves) >= WORTHWHILE;
            if now < grant.due || !longer {
                return None;
            }
        }
        let before = Before {
            until: known.map_or(now, |grant| grant.until),
        };
        match self.find_mut(&held, life) {
            Some(grant) => grant.until = grant.until.max(end),
            None => self.grants.push(CalledGrant {
                held,
                life: life.clone(),
                until: end,
                serves: Moment::default(),
                doubt: Moment::default(),
                released: false,
                due: now,
            }),
        }
        let id = self.open_call(held, life, Some(before));
        let range = range.clone();
        Some((id, KeyRequest::Grant { range, end }))
    }

    fn open_call(
        &mut self,
        held: HeldRange,
        life: &ServerLife,
        before: Option<Before>,
    ) -> KeyCallId {
        self.next += 1;
        let id = KeyCallId(self.next);
        let life = life.clone();
        self.pending.insert(id, Pending { held, life, before });
        id
    }

    fn is_pending(&self, keys: &KeyRange) -> bool {
        let mut pending = self.pending.values();
        pending.any(|pending| pending.held.keys.common(keys).is_some())
    }

    fn find(&self, held: &HeldRange, life: &ServerLife) -> Option<&CalledGrant> {
        let mut grants = self.grants.iter();
        grants.find(|grant| grant.held == *held && grant.life == *life)
    }

    fn find_mut(&mut self, held: &HeldRange, life: &ServerLife) -> Option<&mut CalledGrant> {
        let mut grants = self.grants.iter_mut();
        grants.find(|grant| grant.held == *held && grant.life == *life)
    }
}

fn without(parts: &[KeyRange], keys: &KeyRange) -> Vec<KeyRange> {
    let left = parts.iter().flat_map(|part| part.without(keys));
    left.flatten().collect()
}
