//! What control costs a node.

use quetzalrack_core::ids::ByteCount;
use serde::Deserialize;
use serde::Serialize;

/// Counts what this node spent on control since it started, so that capacity can be computed from
/// two readings.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CostStatus {
    /// Processor time of the control thread and of the thread that serves it, in microseconds.
    pub control_us: u64,
    /// Resident memory of the whole process.
    pub resident: ByteCount,
    /// Bytes of datagrams sent to other nodes.
    pub peer_out: ByteCount,
    /// Bytes of datagrams received from other nodes.
    pub peer_in: ByteCount,
    /// Datagrams sent to other nodes.
    pub datagrams_out: u64,
    /// Datagrams received from other nodes.
    pub datagrams_in: u64,
    /// Datagrams dropped for a bad tag, version or size.
    pub datagrams_refused: u64,
    /// Bytes of records and queries sent to the log service.
    pub log_out: ByteCount,
    /// Bytes of records read from the log service.
    pub log_in: ByteCount,
    /// How long the process has run, in milliseconds.
    pub uptime_ms: u64,
}
