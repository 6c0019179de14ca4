//! Log lines and counters of the outcomes of jobs.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::Egress;
use crate::clock;
use crate::shared::NodeView;
use crate::traffic::job::Job;
use crate::traffic::outcome::Outcome;

/// Interval between log lines about requests to a cold server.
const COLD_LOG_INTERVAL: Duration = Duration::from_millis(1_000);

impl Egress {
    /// Logs the recent requests to a cold server, at most once a second.
    pub(super) fn log_cold_requests(&self, now: Moment, view: &NodeView) {
        let cold = self.queue.query(|admission| {
            let cold = admission.cold_limiter();
            let (begun, written) = cold.recent_counts(now);
            (cold.is_cold(now) && written > 0)
                .then(|| (begun, written, cold.rate(), cold.cold_until()))
        });
        let due = now.since(self.cold_logged.get()) >= COLD_LOG_INTERVAL;
        if let (Some((begun, written, rate, until)), Some(server), true) = (cold, &view.server, due)
        {
            self.cold_logged.set(now);
            log::info!(
                event = "cold_server", server:% = server.incarnation, begun = begun, written = written, rate:? = rate,
                cold_ms = until.since(now).as_millis() as u64, intent = view.intent.offset; ""
            );
        }
    }

    pub(super) fn record_outcome(&self, job: &Job, outcome: &Outcome) {
        let (running, waiting) = self.queue.request_counts();
        match outcome {
            Outcome::Answered(_) => self.metrics.served(),
            Outcome::NotRun(reason, retry_after) => {
                self.metrics.not_run(*reason);
                let left = job.deadline.since(clock::now()).as_millis() as u64;
                log::info!(
                    event = "egress_not_run", id = job.log_id(), reason = reason.name(),
                    route = job.route.as_str(), running = running, waiting = waiting,
                    back_ms = retry_after.as_millis() as u64, left_ms = left,
                    limit:% = self.notices.borrow().limit(); ""
                );
            }
            Outcome::Lost(reason) => {
                self.metrics.lost(reason.name());
                let left = job.deadline.since(clock::now()).as_millis() as u64;
                log::info!(
                    event = "egress_lost", id = job.log_id(), content:% = job.content, reason = reason.name(),
                    route = job.route.as_str(), running = running, left_ms = left,
                    repeatable = job.kind.is_repeatable(); ""
                );
            }
        }
    }
}
