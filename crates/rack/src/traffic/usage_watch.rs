//! Watches what the process uses of its host.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use quetzalrack_mesh::model::ProcessLimits;
use quetzalrack_mesh::traffic::budget::Kind;

use super::egress::Egress;
use super::ingress::Ingress;
use super::wire::ActiveCounter;
use crate::budget::ProcessBudget;
use crate::metrics::Metrics;
use crate::process::MemoryAlarm;
use crate::process::ProcessUsage;
use crate::process::UsageSample;

/// Interval between looks at the memory: bodies at the speed of a link fill it in less than a second.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// How many looks pass between two counts of the descriptors, which take longer.
const DESCRIPTOR_LOOKS: u32 = 25;

/// Writes the process's use of memory and descriptors to the metrics, and to the log when the memory nears its
/// limit: a process that is killed for its memory writes no last line.
pub(super) struct UsageWatch {
    pub(super) limits: ProcessLimits,
    pub(super) metrics: Arc<Metrics>,
    pub(super) budget: Rc<ProcessBudget>,
    pub(super) ingress: Rc<Ingress>,
    pub(super) egress: Rc<Egress>,
    pub(super) clients: ActiveCounter,
    pub(super) peers: ActiveCounter,
}

impl UsageWatch {
    /// Watches until the process ends.
    pub(super) async fn run(self) {
        let mut alarm = MemoryAlarm::new(self.limits.memory);
        let mut looks = 0;
        loop {
            let descriptors = match looks % DESCRIPTOR_LOOKS {
                0 => ProcessUsage::descriptors(),
                _ => None,
            };
            self.look(&mut alarm, descriptors);
            looks += 1;
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    fn look(&self, alarm: &mut MemoryAlarm, descriptors: Option<usize>) {
        let Some(memory) = ProcessUsage::memory() else {
            return;
        };
        let level = alarm.observe(memory);
        let sample = UsageSample {
            memory,
            memory_peak: alarm.peak(),
            descriptors,
            clients: self.clients.count(),
            peers: self.peers.count(),
        };
        self.metrics.set_usage(&sample);
        for kind in Kind::ALL {
            self.metrics.set_held(kind, self.budget.bytes(kind));
        }
        if let Some(percent) = level {
            log::warn!(
                event = "memory_high", percent = percent, used_mb = memory.megabytes(),
                limit_mb = alarm.limit().megabytes(), clients = sample.clients, nodes = sample.peers,
                requests = self.ingress.running_count(), jobs = self.egress.running_count(),
                descriptors = ProcessUsage::descriptors().unwrap_or_default(),
                client_bytes = self.budget.bytes(Kind::Client), peer_bytes = self.budget.bytes(Kind::Peer),
                request_bytes = self.budget.bytes(Kind::Request),
                response_bytes = self.budget.bytes(Kind::Response); ""
            );
        }
    }
}
