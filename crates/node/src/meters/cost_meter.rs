//! Resource use of the control work at one node.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use quetzalrack_core::ids::ByteCount;
use quetzalrack_core::time::Moment;
use quetzalrack_wire::status::CostStatus;

use super::ThreadMeter;
use super::resident_memory::resident_memory;
use crate::platform::LinkCounters;
use crate::platform::LogCounters;

/// Collects the resource use of the control work from its counters.
#[derive(Debug)]
pub struct CostMeter {
    /// When the node started.
    pub started: Moment,
    /// Processor time of the control thread.
    pub control: Arc<ThreadMeter>,
    /// Processor time of the service thread, which handles operators, calls and the log service.
    pub service: Arc<ThreadMeter>,
    /// Counters of the datagrams between nodes.
    pub link: Arc<LinkCounters>,
    /// Counters of the log service.
    pub log: Arc<LogCounters>,
}

impl CostMeter {
    /// Returns the totals since the node started.
    pub fn read(&self, now: Moment) -> CostStatus {
        CostStatus {
            control_us: self.total_time().as_micros() as u64,
            resident: resident_memory(),
            peer_out: bytes(&self.link.bytes_out),
            peer_in: bytes(&self.link.bytes_in),
            datagrams_out: self.link.sent.load(Ordering::Relaxed),
            datagrams_in: self.link.received.load(Ordering::Relaxed),
            datagrams_refused: self.link.refused.load(Ordering::Relaxed),
            log_out: bytes(&self.log.bytes_out),
            log_in: bytes(&self.log.bytes_in),
            uptime_ms: now.since(self.started).as_millis() as u64,
        }
    }

    fn total_time(&self) -> Duration {
        self.control.cpu_time() + self.service.cpu_time() + self.link.receiver.cpu_time()
    }
}

fn bytes(counter: &AtomicU64) -> ByteCount {
    ByteCount(counter.load(Ordering::Relaxed))
}
