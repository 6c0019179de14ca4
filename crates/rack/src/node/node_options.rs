//! Options of a node beside its settings file.

use std::net::SocketAddr;

/// Options from the command line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeOptions {
    /// Port of the metrics page, if there is one.
    pub metrics: Option<u16>,
    /// Address on which it listens for peers, if it differs from the advertised one.
    pub peers: Option<SocketAddr>,
}
