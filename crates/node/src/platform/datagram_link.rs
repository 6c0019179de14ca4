//! Sending datagrams over UDP.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;

use quetzalrack_core::boundary::PeerLink;
use quetzalrack_core::ownership::PeerMessage;
use quetzalrack_wire::datagram::seal_datagram;

use super::KeyStore;
use super::LinkCounters;

/// Sends signed datagrams; those that can't be sent at once are dropped.
#[derive(Debug)]
pub(super) struct DatagramLink {
    pub(super) socket: UdpSocket,
    pub(super) keys: Arc<KeyStore>,
    pub(super) counters: Arc<LinkCounters>,
}

impl PeerLink for DatagramLink {
    fn send(&self, to: SocketAddr, message: &PeerMessage) {
        let sealed = match seal_datagram(message, &self.keys.nodes()) {
            Ok(sealed) => sealed,
            Err(error) => {
                log::error!(event = "datagram_unsendable", to:% = to; "{error}");
                return;
            }
        };
        // The datagram is lost if the socket buffer is full or the peer is unreachable. The
        // protocol tolerates that, while waiting here would delay all other heartbeats.
        match self.socket.send_to(&sealed, to) {
            Ok(size) => self.counters.count_sent(size),
            Err(error) => log::debug!(event = "datagram_lost", to:% = to; "{error}"),
        }
    }
}
