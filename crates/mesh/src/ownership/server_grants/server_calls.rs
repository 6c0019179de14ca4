//! The calls that grant and release keys of the tracked backend server.

use quetzalrack_core::time::Moment;

use super::KeyCall;
use super::KeyCallId;
use super::KeyCallOutcome;
use super::Lease;
use super::ServerTracker;
use crate::model::Granting;
use crate::model::HeldRange;
use crate::ownership::LeaseTimes;

impl ServerTracker {
    /// Returns the calls that are due. They grant the ranges of the lease to a server that is granted keys
    /// by call, and release ranges that the lease does not list.
    pub(in crate::ownership) fn due_calls(
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
        let lease = lease.filter(|lease| {
            granting == Granting::ByCall && lease.assignment.server == newest.incarnation
        });
        self.call_grants.due_calls(
            now,
            &newest.incarnation,
            newest.address,
            current.heartbeat_at,
            lease,
            times,
        )
    }

    /// Records the outcome of a call.
    pub(in crate::ownership) fn record_call_outcome(
        &mut self,
        now: Moment,
        id: KeyCallId,
        outcome: KeyCallOutcome,
        times: &LeaseTimes,
    ) {
        let released = self.call_grants.record_outcome(now, id, outcome, times);
        if let (Some(released), Some(current)) = (released, &mut self.current) {
            current.record_release(now, released);
        }
    }

    /// Returns the ranges that were granted by call to earlier incarnations and may have reached the
    /// current one.
    pub(in crate::ownership) fn earlier_grants(&self, now: Moment) -> Vec<HeldRange> {
        self.incarnation().map_or(Vec::new(), |incarnation| {
            self.call_grants.earlier_grants(now, incarnation)
        })
    }

    /// Returns the ranges of the lease that the server refused because it has seen a higher token.
    pub(in crate::ownership) fn stale_grants(&self, lease: Option<&Lease>) -> Vec<HeldRange> {
        lease.map_or(Vec::new(), |lease| {
            self.call_grants.stale_grants(&lease.assignment.ranges)
        })
    }
}
