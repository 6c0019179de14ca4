//! Messages to nodes that have not sent a heartbeat.

use std::net::SocketAddr;

use quetzalrack_core::time::Moment;

use super::leader_machine::Leader;
use crate::ownership::Action;
use crate::ownership::PeerMessage;

impl Leader {
    /// Asks the nodes whose servers were granted keys, or whose servers' departures were stored, for a
    /// heartbeat at once.
    pub(in crate::ownership) fn request_heartbeats(&mut self, actions: &mut Vec<Action>) {
        let epoch = self.record.epoch;
        for node in std::mem::take(&mut self.heartbeat_requests) {
            if let Some(peer) = self.peers.get(&node) {
                actions.push(Action::Send(
                    peer.member.control,
                    PeerMessage::HeartbeatRequest { epoch },
                ));
            }
        }
    }

    /// Announces the leader to silent nodes: one that has started while the store is unreachable
    /// knows no other node.
    pub(super) fn contact_silent_peers(&mut self, now: Moment, actions: &mut Vec<Action>) {
        if !self
            .record_sync
            .is_contact_due(now, self.times.leader_timeout)
        {
            return;
        }
        let silent = self.peers.values().filter(|peer| !peer.is_responsive(now));
        let mut addresses: Vec<SocketAddr> = silent.map(|peer| peer.member.control).collect();
        let unknown = self
            .record
            .voters
            .iter()
            .filter(|voter| !self.peers.contains_key(&voter.node));
        addresses.extend(unknown.map(|voter| voter.control));
        for address in addresses {
            let record = Box::new(self.record.announcement());
            actions.push(Action::Send(
                address,
                PeerMessage::LeaderAnnouncement(record),
            ));
        }
    }
}
