//! Turning new connections away before a port is closed.

use std::io;

use socket2::SockFilter;
use socket2::SockRef;
use tokio::net::TcpListener;

/// The offset of the flags in a TCP header.
const FLAGS_OFFSET: u32 = 13;
/// The flags SYN and ACK, and SYN alone, which opens a connection.
const SYN_OR_ACK: u32 = 0x12;
const SYN: u32 = 0x02;
/// Operations of the kernel's packet filter: load a byte, mask it, compare it, return how much is kept.
const LOAD_BYTE: u16 = 0x30;
const AND: u16 = 0x54;
const JUMP_IF_EQUAL: u16 = 0x15;
const RETURN: u16 = 0x06;

/// Drops what opens further connections to a port. Those that are open or being opened go on.
///
/// Closing a port resets the connections that it has not accepted yet, and one more may come after the last
/// accept. A client whose opening packet is dropped sends it again, and is then refused.
pub(super) fn turn_away(listener: &TcpListener) -> io::Result<()> {
    let filter = [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(AND, 0, 0, SYN_OR_ACK),
        SockFilter::new(JUMP_IF_EQUAL, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ];
    SockRef::from(listener).attach_filter(&filter)
}
