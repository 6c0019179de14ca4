//! The datagrams between nodes: a version byte, a signature and a compact binary body.
//!
//! `docs/design/processes.md` weighs this against JSON and framed streams.

mod datagram_error;
mod open_datagram;
mod seal_datagram;

pub use datagram_error::DatagramError;
pub use open_datagram::open_datagram;
pub use seal_datagram::seal_datagram;

/// The first byte of every datagram; it changes when old nodes could misread new bodies.
pub const VERSION: u8 = 1;

/// The greatest datagram, in bytes: what UDP over IPv4 can carry.
pub const LARGEST_DATAGRAM: usize = 65_507;
