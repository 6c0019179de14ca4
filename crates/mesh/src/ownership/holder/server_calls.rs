//! The part of a server's watch that concerns calls.

use quetzalrack_core::time::Moment;

use super::KeyCall;
use super::KeyCallId;
use super::KeyCallOutcome;
use super::Lease;
use super::ServerWatch;
use crate::model::Granting;
use crate::model::HeldRange;
use crate::ownership::LeaseTimes;

impl ServerWatch {
    /// Returns the calls that are due: for keys of the lease that a server is granted by call, and to
    /// take back what the lease does not name.
    pub(in crate::ownership) fn call(
        &mut self,
        now: Moment,
        granting: Granting,
        lease: Option<&Lease>,
        times: &LeaseTimes,
    ) -> Vec<KeyCall> {
        let Some(current) = &self.current else {
            return Vec::new();
        };
        let newest = &current.newest;
        let lease = lease
            .filter(|lease| granting == Granting::ByCall && lease.assignment.server == newest.life);
        self.called
            .plan(now, &newest.life, newest.address, current.at, lease, times)
    }

    /// Takes the outcome of a call.
    pub(in crate::ownership) fn call_ended(
        &mut self,
        now: Moment,
        id: KeyCallId,
        outcome: KeyCallOutcome,
        times: &LeaseTimes,
    ) {
        let freed = self.called.ended(now, id, outcome, times);
        if let (Some(freed), Some(current)) = (freed, &mut self.current) {
            current.free(now, freed);
        }
    }

    /// Returns what was granted by call to earlier lives, and may have reached the present one.
    pub(in crate::ownership) fn leftover(&self, now: Moment) -> Vec<HeldRange> {
        self.life()
            .map_or(Vec::new(), |life| self.called.leftover(now, life))
    }

    /// Returns the ranges of the lease that the server refused for a higher token.
    pub(in crate::ownership) fn outbid(&self, lease: Option<&Lease>) -> Vec<HeldRange> {
        lease.map_or(Vec::new(), |lease| {
            self.called.outbid(&lease.assignment.ranges)
        })
    }
}
