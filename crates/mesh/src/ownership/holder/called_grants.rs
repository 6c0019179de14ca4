//! What a backend server holds by calls.
//!
//! A call is not as certain as the answer to a heartbeat: its hold counts from an arrival that the
//! node does not see, and a call without an answer may be obeyed seconds later, after later grants and
//! after a release. So each grant has two ends: until `serves` the server holds it for certain, until
//! `until` it may. See `docs/design/platform.md`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::KeyCall;
use super::KeyCallId;
use super::KeyCallOutcome;
use super::KeyRequest;
use super::Lease;
use crate::model::FreedRange;
use crate::model::GrantedRange;
use crate::model::HeldRange;
use crate::model::KeyRange;
use crate::model::ServerLife;
use crate::ownership::LeaseTimes;

/// How soon a call follows one that failed.
const AGAIN: Duration = Duration::from_millis(150);
/// How much longer a grant must become to be worth a call.
const WORTHWHILE: Duration = Duration::from_millis(100);
/// How many refused grants are remembered; the leader replaces each within a beat or two.
const OUTBID_KEPT: usize = 64;

/// Follows the grants and releases of one host's backend server, its earlier lives included: a late
/// call may reach another life at the same address.
#[derive(Clone, Debug, Default)]
pub(super) struct CalledGrants {
    next: u64,
    grants: Vec<CalledGrant>,
    pending: BTreeMap<KeyCallId, Pending>,
    /// Grants that the server refused for a higher token; they are never asked for again.
    outbid: Vec<HeldRange>,
    /// When a failed release may be asked for again.
    release_after: Moment,
}

#[derive(Clone, Debug)]
struct CalledGrant {
    held: HeldRange,
    life: ServerLife,
    until: Moment,
    serves: Moment,
    /// Until then a call for it without an answer may be obeyed, and a release does not end it.
    doubt: Moment,
    released: bool,
    /// When it is to be renewed.
    due: Moment,
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
    pub(super) fn plan(
        &mut self,
        now: Moment,
        life: &ServerLife,
        address: SocketAddr,
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
            request,
        };
        calls.into_iter().map(number).collect()
    }

    /// Takes the outcome of a call; returns what the server has released by it.
    pub(super) fn ended(
        &mut self,
        now: Moment,
        id: KeyCallId,
        outcome: KeyCallOutcome,
        times: &LeaseTimes,
    ) -> Option<FreedRange> {
        let pending = self.pending.remove(&id)?;
        match pending.before {
            Some(before) => {
                self.grant_ended(now, &pending, before, &outcome, times);
                None
            }
            None => self.release_ended(now, &pending, outcome),
        }
    }

    /// Returns everything that a life of the server may hold.
    pub(super) fn holding(&self, now: Moment, life: &ServerLife) -> Vec<HeldRange> {
        let own = |grant: &&CalledGrant| now < grant.until && grant.life == *life;
        self.grants
            .iter()
            .filter(own)
            .map(|grant| grant.held)
            .collect()
    }

    /// Returns what was granted to earlier lives, and may have reached this one.
    pub(super) fn leftover(&self, now: Moment, life: &ServerLife) -> Vec<HeldRange> {
        let other = |grant: &&CalledGrant| now < grant.until && grant.life != *life;
        self.grants
            .iter()
            .filter(other)
            .map(|grant| grant.held)
            .collect()
    }

    /// Returns the grants that the server refused for a higher token, among those of the lease.
    pub(super) fn outbid(&self, ranges: &[GrantedRange]) -> Vec<HeldRange> {
        let wanted = |held: &&HeldRange| ranges.iter().any(|range| range.held == **held);
        self.outbid.iter().filter(wanted).copied().collect()
    }

    /// Returns the parts of the wanted ranges that the server holds for certain, each with its end.
    pub(super) fn serving(
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
        let mut unwanted: Vec<HeldRange> = Vec::new();
        for grant in &self.grants {
            if grant.life != *life || grant.released {
                continue;
            }
            let mut parts = vec![grant.held.keys];
            for range in ranges {
                parts = without(&parts, &range.held.keys);
            }
            for earlier in &unwanted {
                parts = without(&parts, &earlier.keys);
            }
            let parts = parts
                .into_iter()
                .map(|keys| HeldRange { keys, ..grant.held });
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
        let time = times.held_by_call(now, end)?;
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

    fn grant_ended(
        &mut self,
        now: Moment,
        pending: &Pending,
        before: Before,
        outcome: &KeyCallOutcome,
        times: &LeaseTimes,
    ) {
        if *outcome == KeyCallOutcome::Outbid {
            if self.outbid.len() == OUTBID_KEPT {
                self.outbid.remove(0);
            }
            self.outbid.push(pending.held);
        }
        let Some(grant) = self.find_mut(&pending.held, &pending.life) else {
            return;
        };
        grant.due = now + AGAIN;
        grant.until = match outcome {
            KeyCallOutcome::Granted {
                sent,
                answered,
                time,
            } => {
                grant.serves = grant.serves.max(*sent + *time);
                grant.released = false;
                grant.due = *sent + times.hold.min(*time) / 2;
                before.until.max(*answered + LeaseTimes::waited(*time))
            }
            KeyCallOutcome::Unanswered { closed, time } => {
                grant.doubt = grant.doubt.max(*closed + LeaseTimes::waited(*time));
                before.until.max(grant.doubt)
            }
            KeyCallOutcome::Outbid => {
                grant.serves = now;
                before.until
            }
            KeyCallOutcome::Released(_) | KeyCallOutcome::Rejected | KeyCallOutcome::NotSent => {
                before.until
            }
        };
    }

    fn release_ended(
        &mut self,
        now: Moment,
        pending: &Pending,
        outcome: KeyCallOutcome,
    ) -> Option<FreedRange> {
        let KeyCallOutcome::Released(handover) = outcome else {
            self.release_after = now + AGAIN;
            return None;
        };
        let keys = pending.held.keys;
        let grants = std::mem::take(&mut self.grants);
        self.grants = grants
            .into_iter()
            .flat_map(|grant| match grant.life == pending.life {
                true => grant.after_release(now, &keys),
                false => vec![grant],
            })
            .collect();
        handover.map(|handover| FreedRange { keys, handover })
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

impl CalledGrant {
    /// Returns what is left after the server has released some keys. A call that may still be obeyed
    /// would bring them back, so a doubtful grant stays until its end, known as released.
    fn after_release(self, now: Moment, keys: &KeyRange) -> Vec<Self> {
        let part = |keys: KeyRange| Self {
            held: HeldRange { keys, ..self.held },
            ..self.clone()
        };
        let rest = self.held.keys.without(keys).into_iter().flatten();
        let mut left: Vec<Self> = rest.map(part).collect();
        let common = self.held.keys.common(keys);
        left.extend(common.filter(|_| now < self.doubt).map(|keys| Self {
            until: self.doubt,
            serves: Moment::default(),
            released: true,
            due: now,
            ..part(keys)
        }));
        left
    }
}

fn without(parts: &[KeyRange], keys: &KeyRange) -> Vec<KeyRange> {
    let left = parts.iter().flat_map(|part| part.without(keys));
    left.flatten().collect()
}
