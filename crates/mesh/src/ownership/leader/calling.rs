//! Speaking to nodes that have not asked.

use std::net::SocketAddr;

use quetzalrack_core::time::Moment;

use super::leader_machine::Leader;
use crate::ownership::Action;
use crate::ownership::PeerMessage;

impl Leader {
    /// Has the nodes speak at once whose servers were granted keys.
    pub(super) fn prompt(&mut self, actions: &mut Vec<Action>) {
        let epoch = self.record.epoch;
        for node in std::mem::take(&mut self.prompted) {
            if let Some(peer) = self.peers.get(&node) {
                actions.push(Action::Send(
                    peer.member.control,
                    PeerMessage::HeartbeatRequest { epoch },
                ));
            }
        }
    }

    /// Speaks to nodes that are silent: one that has started while the store is away knows nobody.
    pub(super) fn call_silent(&mut self, now: Moment, actions: &mut Vec<Action>) {
        if !self.keeper.is_call_due(now, self.times.leader_timeout) {
            return;
        }
        let silent = self.peers.values().filter(|peer| !peer.is_heard(now));
        let mut addresses: Vec<SocketAddr> = silent.map(|peer| peer.member.control).collect();
        let unknown = self
            .record
            .voters
            .iter()
            .filter(|voter| !self.peers.contains_key(&voter.node));
        addresses.extend(unknown.map(|voter| voter.control));
        for address in addresses {
            let record = Box::new(self.record.clone());
            actions.push(Action::Send(
                address,
                PeerMessage::LeaderAnnouncement(record),
            ));
        }
    }
}
