//! Datagrams between nodes over UDP.

use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Weak;
use std::thread;
use std::time::Duration;

use quetzalrack_core::ownership::PeerMessage;
use quetzalrack_wire::datagram::LARGEST_DATAGRAM;
use quetzalrack_wire::datagram::open_datagram;

use super::KeyStore;
use super::LinkCounters;
use super::OpenLink;
use super::PeerInbox;
use super::PeerNetwork;
use super::datagram_link::DatagramLink;

/// How long a send may wait for space in the socket's buffer before the datagram counts as lost.
const SEND_TIMEOUT: Duration = Duration::from_millis(1);
/// How often an idle receiver checks whether the sending side was dropped.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Exchanges UDP datagrams signed with the nodes' keys.
#[derive(Debug)]
pub struct DatagramNetwork {
    keys: Arc<KeyStore>,
}

impl DatagramNetwork {
    /// Creates a network that signs and checks each datagram with the keys then in force.
    pub fn new(keys: Arc<KeyStore>) -> Self {
        Self { keys }
    }
}

impl PeerNetwork for DatagramNetwork {
    fn open(&self, address: SocketAddr, inbox: Arc<dyn PeerInbox>) -> io::Result<OpenLink> {
        let socket = UdpSocket::bind(address)?;
        socket.set_write_timeout(Some(SEND_TIMEOUT))?;
        socket.set_read_timeout(Some(STOP_CHECK_INTERVAL))?;
        let address = socket.local_addr()?;
        let counters = Arc::new(LinkCounters::default());
        let link = Arc::new(DatagramLink {
            socket: socket.try_clone()?,
            keys: self.keys.clone(),
            counters: counters.clone(),
        });
        let receiver = Receiver {
            socket,
            keys: self.keys.clone(),
            counters: counters.clone(),
            inbox,
            sender: Arc::downgrade(&link),
        };
        thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || receiver.run())?;
        Ok(OpenLink {
            address,
            link,
            counters,
        })
    }
}

/// Receives on a separate thread, so that a long response to an operator never delays the heartbeats
/// on which leases depend.
struct Receiver {
    socket: UdpSocket,
    keys: Arc<KeyStore>,
    counters: Arc<LinkCounters>,
    inbox: Arc<dyn PeerInbox>,
    /// The sending side; receiving stops once it is dropped.
    sender: Weak<DatagramLink>,
}

impl Receiver {
    fn run(self) {
        let mut buffer = vec![0; LARGEST_DATAGRAM];
        while self.sender.strong_count() > 0 {
            match self.socket.recv_from(&mut buffer) {
                Ok((size, from)) => self.handle_datagram(&buffer[..size], from),
                Err(error) if is_timeout(&error) => {}
                // An ICMP error for an earlier send is reported here; the socket stays usable.
                Err(error) => log::debug!(event = "datagram_receive_failed"; "{error}"),
            }
            self.counters.receiver.record();
        }
    }

    fn handle_datagram(&self, sealed: &[u8], from: SocketAddr) {
        self.counters.count_received(sealed.len());
        match open_datagram::<PeerMessage>(sealed, &self.keys.nodes()) {
            Ok(message) => {
                if !self.inbox.deliver(from, message) {
                    self.counters.count_refused();
                }
            }
            Err(error) => {
                self.counters.count_refused();
                log::debug!(event = "datagram_refused", from:% = from; "{error}");
            }
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
