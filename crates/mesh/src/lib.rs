//! Decision logic of nodes on a platform where backend servers request their keys by heartbeat, without
//! clocks, sockets or threads.
//!
//! Each backend server shares its host with a node, which alone can reach it. The platform's metadata
//! store records one leader, which places key ranges on nodes and renews their leases.
//! See `docs/design/platform.md`.

pub mod boundary;
pub mod model;
pub mod ownership;
pub mod placement;
pub mod routing;
pub mod traffic;
