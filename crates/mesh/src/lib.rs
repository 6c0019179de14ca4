//! The decisions of nodes that run where backend servers ask for their keys by heartbeat, free of
//! clocks, sockets and threads.
//!
//! A node stands beside each backend server and is the only one to reach it. The platform's
//! metadata store names one leader; the leader places key ranges on nodes and renews their leases.
//! See `docs/design/platform.md`.

pub mod boundary;
pub mod model;
pub mod ownership;
pub mod placement;
pub mod routing;
pub mod traffic;
