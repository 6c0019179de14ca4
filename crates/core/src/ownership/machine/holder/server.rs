//! Handling of the node's backend server.

use super::Holder;
use super::Outbox;
use crate::cluster::Announcement;
use crate::explain::LapseReason;
use crate::time::Moment;

impl Holder {
    /// Handles an announcement. A restarted backend server has lost its fences and its keys, so the
    /// grants of its earlier incarnation end and must be granted again.
    pub(in crate::ownership::machine) fn handle_announcement(
        &mut self,
        now: Moment,
        announcement: Announcement,
        out: &mut Outbox,
    ) {
        let known = self.server.as_ref();
        let same_incarnation = known.is_some_and(|known| {
            known.incarnation == announcement.incarnation && known.server == announcement.server
        });
        let changed = known.is_none_or(|known| {
            known.state != announcement.state || known.slots != announcement.slots
        });
        if known.is_some() && !same_incarnation {
            self.drop_all_leases(out);
        }
        self.server = Some(announcement);
        if changed || !same_incarnation {
            self.profile_version += 1;
            self.expedite_heartbeat(now);
        }
    }

    /// Handles the loss of the backend server: a node without one holds no leases.
    pub(in crate::ownership::machine) fn handle_server_lost(
        &mut self,
        now: Moment,
        out: &mut Outbox,
    ) {
        if self.server.take().is_none() {
            return;
        }
        self.drop_all_leases(out);
        self.profile_version += 1;
        self.expedite_heartbeat(now);
    }

    fn drop_all_leases(&mut self, out: &mut Outbox) {
        let held = |(slice, lease): (&_, &super::HeldLease)| (Clone::clone(slice), lease.fence);
        let all: Vec<_> = self.leases.iter().map(held).collect();
        for (slice, fence) in all {
            self.drop_lease(&slice, fence, LapseReason::ServerLost, out);
        }
    }
}
