//! The state of a node that its controller reads.

use super::ControlLog;
use crate::cluster::Member;
use crate::cluster::RoutingTable;
use crate::intent::InForce;
use crate::ownership::LeaseTimes;
use crate::ownership::SafetyRules;
use crate::time::Moment;

/// Borrows the parts of a node that its controller reads.
#[derive(Clone, Copy, Debug)]
pub(super) struct Context<'a> {
    pub(super) now: Moment,
    pub(super) own: &'a Member,
    pub(super) rules: SafetyRules,
    pub(super) leaving: bool,
    pub(super) intent: Option<&'a InForce>,
    pub(super) log: &'a ControlLog,
    pub(super) routing: &'a RoutingTable,
}

impl Context<'_> {
    /// Tells whether a member's availability zone and backend server are in service.
    pub(super) fn is_in_service(&self, member: &Member) -> bool {
        let Some(intent) = self.intent else {
            return true;
        };
        let server_out = member
            .server
            .as_ref()
            .is_some_and(|server| intent.servers_out.contains(server));
        !server_out && !intent.zones_out.contains(&member.zone)
    }

    /// Returns the times of a new term, which come from the document.
    pub(super) fn times(&self) -> LeaseTimes {
        self.intent.map_or_else(LeaseTimes::default, |intent| {
            intent.document.ownership.into()
        })
    }
}
