//! Bounds what all holders hold together.

use std::collections::BTreeMap;

use quetzalrack_core::time::Moment;

use super::BudgetPlan;
use super::HolderId;
use super::Kind;
use super::Verdict;
use super::eviction;
use super::holder::Holder;

/// The kinds with a common share.
const BODIES: &[Kind] = &[Kind::Request, Kind::Response];

/// Grants bytes to holders as long as the share of their kind lasts, and evicts others for them beyond that.
///
/// An evicted holder gives its bytes back a moment later. Until then they count as used and as promised to the
/// one that it gave way to.
#[derive(Debug)]
pub struct Budget {
    plan: BudgetPlan,
    holders: BTreeMap<HolderId, Holder>,
    /// The holders that were evicted and still hold what they held.
    leaving: BTreeMap<HolderId, Holder>,
    usage: [Usage; Kind::ALL.len()],
    last_id: u64,
}

/// What the holders of one kind hold.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    bytes: u64,
    /// How many holders are open.
    holders: usize,
    /// What evicted holders will give back.
    leaving: u64,
}

impl Budget {
    /// Makes a budget of which nothing is used.
    pub fn new(plan: BudgetPlan) -> Self {
        Self {
            plan,
            holders: BTreeMap::new(),
            leaving: BTreeMap::new(),
            usage: Default::default(),
            last_id: 0,
        }
    }

    /// Returns the plan.
    pub fn plan(&self) -> &BudgetPlan {
        &self.plan
    }

    /// Returns how many bytes of a kind are held.
    pub fn bytes(&self, kind: Kind) -> u64 {
        self.usage(kind).bytes
    }

    /// Returns how many holders of a kind are open.
    pub fn holders(&self, kind: Kind) -> usize {
        self.usage(kind).holders
    }

    /// Opens a holder of nothing that waits for the other side. If there are too many of its kind, one is evicted;
    /// returns the one opened and the one evicted, or `None` if none gives way.
    pub fn open(&mut self, now: Moment, kind: Kind) -> Option<(HolderId, Option<HolderId>)> {
        self.last_id += 1;
        let id = HolderId(self.last_id);
        let is_full = self.usage(kind).holders >= self.plan.share(kind).holders;
        let evicted = match is_full {
            true => Some(self.evict(now, &[kind], id)?),
            false => None,
        };
        let holder = Holder {
            kind,
            bytes: 0,
            opened_at: now,
            moved_at: now,
            is_waiting: true,
        };
        self.holders.insert(id, holder);
        self.usage_mut(kind).holders += 1;
        Some((id, evicted))
    }

    /// Grants more bytes to a holder, or refuses them.
    pub fn grow(&mut self, now: Moment, id: HolderId, bytes: u64) -> Verdict {
        let mut verdict = Verdict::default();
        let Some(holder) = self.holders.get(&id).copied() else {
            return verdict;
        };
        let wanted = holder.bytes.saturating_add(bytes);
        while let Some(full) = self.full_share(holder.kind, bytes, wanted) {
            match self.evict(now, full, id) {
                Some(evicted) if evicted == id => return verdict,
                Some(evicted) => verdict.evicted.push(evicted),
                None => return verdict,
            }
        }
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes += bytes;
            holder.moved_at = now;
        }
        self.usage_mut(holder.kind).bytes += bytes;
        verdict.is_granted = true;
        verdict
    }

    /// Records that bytes of a kind are no longer held, whoever held them.
    pub fn release(&mut self, kind: Kind, bytes: u64) {
        let usage = self.usage_mut(kind);
        usage.bytes = usage.bytes.saturating_sub(bytes);
    }

    /// Records that a holder holds less itself.
    pub fn shrink(&mut self, id: HolderId, kind: Kind, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes = holder.bytes.saturating_sub(bytes);
        }
        self.release(kind, bytes);
    }

    /// Records that a holder holds bytes which were granted to another one before.
    pub fn adopt(&mut self, id: HolderId, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes += bytes;
        }
    }

    /// Records that a holder got on.
    pub fn record_progress(&mut self, now: Moment, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.moved_at = now;
        }
    }

    /// Records whether a holder waits for the other side.
    pub fn set_waiting(&mut self, now: Moment, id: HolderId, is_waiting: bool) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_waiting = is_waiting;
            holder.moved_at = now;
        }
    }

    /// Closes a holder. Its bytes are released apart, since they may be passed on.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.usage_mut(holder.kind).holders -= 1;
        } else if let Some(holder) = self.leaving.remove(&id) {
            let usage = self.usage_mut(holder.kind);
            usage.leaving = usage.leaving.saturating_sub(holder.bytes);
        }
    }

    /// Returns the kinds whose share has no room for more bytes of a holder that would then hold `wanted`.
    fn full_share(&self, kind: Kind, bytes: u64, wanted: u64) -> Option<&'static [Kind]> {
        let own: &[Kind] = match kind {
            Kind::Client => &[Kind::Client],
            Kind::Peer => &[Kind::Peer],
            Kind::Work => &[Kind::Work],
            Kind::Request => &[Kind::Request],
            Kind::Response => &[Kind::Response],
        };
        if !self.has_room(own, bytes, self.plan.share(kind).limit_for(wanted)) {
            return Some(own);
        }
        let is_full =
            kind.is_body() && !self.has_room(BODIES, bytes, self.plan.bodies().limit_for(wanted));
        is_full.then_some(BODIES)
    }

    fn has_room(&self, kinds: &[Kind], bytes: u64, limit: u64) -> bool {
        let kept = kinds.iter().map(|kind| {
            let usage = self.usage(*kind);
            usage.bytes.saturating_sub(usage.leaving)
        });
        kept.sum::<u64>().saturating_add(bytes) <= limit
    }

    /// Evicts one holder of some kinds; it is not evicted again.
    fn evict(&mut self, now: Moment, kinds: &[Kind], asking: HolderId) -> Option<HolderId> {
        let evicted = eviction::choose(now, kinds, asking, self.holders.iter())?;
        if evicted != asking {
            let holder = self.holders.remove(&evicted)?;
            self.leaving.insert(evicted, holder);
            let usage = self.usage_mut(holder.kind);
            usage.holders -= 1;
            usage.leaving += holder.bytes;
        }
        Some(evicted)
    }

    fn usage(&self, kind: Kind) -> Usage {
        self.usage.get(kind.index()).copied().unwrap_or_default()
    }

    fn usage_mut(&mut self, kind: Kind) -> &mut Usage {
        &mut self.usage[kind as usize]
    }
}
