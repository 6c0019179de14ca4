//! The actions of one step.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::explain::Happening;
use crate::ownership::OwnershipAction;
use crate::ownership::PeerMessage;

/// Collects the actions of one step. A message to the node itself is not sent but handled before
/// the step ends.
#[derive(Debug)]
pub(super) struct Outbox {
    own_address: SocketAddr,
    actions: Vec<OwnershipAction>,
    local: VecDeque<PeerMessage>,
}

impl Outbox {
    pub(super) fn open(own_address: SocketAddr) -> Self {
        Self {
            own_address,
            actions: Vec::new(),
            local: VecDeque::new(),
        }
    }

    pub(super) fn push(&mut self, action: OwnershipAction) {
        self.actions.push(action);
    }

    pub(super) fn send(&mut self, to: SocketAddr, message: PeerMessage) {
        if to == self.own_address {
            self.local.push_back(message);
        } else {
            self.actions.push(OwnershipAction::Send { to, message });
        }
    }

    pub(super) fn explain(&mut self, happening: Happening) {
        self.actions.push(OwnershipAction::Explain(happening));
    }

    pub(super) fn pop_local(&mut self) -> Option<PeerMessage> {
        self.local.pop_front()
    }

    pub(super) fn into_actions(self) -> Vec<OwnershipAction> {
        self.actions
    }
}
