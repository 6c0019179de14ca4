//! Lines and counters of what becomes of jobs.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::Egress;
use crate::clock;
use crate::shared::NodeView;
use crate::traffic::job::Job;
use crate::traffic::outcome::Outcome;

/// How often a line tells how many requests went to a cold server.
const COLD_LINE: Duration = Duration::from_millis(1_000);

impl Egress {
    /// Writes a line for each second in which a cold server got requests.
    pub(super) fn note_cold(&self, now: Moment, view: &NodeView) {
        let cold = self.turns.ask(|admission| {
            let cold = admission.cold_limiter();
            let (begun, written) = cold.recent_counts(now);
            (cold.is_cold(now) && written > 0)
                .then(|| (begun, written, cold.rate(), cold.cold_until()))
        });
        let due = now.since(self.cold_line.get()) >= COLD_LINE;
        if let (Some((begun, written, rate, until)), Some(server), true) = (cold, &view.server, due)
        {
            self.cold_line.set(now);
            log::info!(
                event = "cold_server", server:% = server.life, begun = begun, written = written, rate:? = rate,
                cold_ms = until.since(now).as_millis() as u64, intent = view.intent.offset; ""
            );
        }
    }

    pub(super) fn note(&self, job: &Job, outcome: &Outcome) {
        let (running, waiting) = self.turns.busy();
        match outcome {
            Outcome::Answered(_) => self.metrics.served(),
            Outcome::NotRun(reason, back) => {
                self.metrics.not_run(*reason);
                let left = job.deadline.since(clock::now()).as_millis() as u64;
                log::info!(
                    event = "egress_not_run", id = job.name(), reason = reason.name(),
                    route = job.route.as_str(), running = running, waiting = waiting,
                    back_ms = back.as_millis() as u64, left_ms = left; ""
                );
            }
            Outcome::Lost(lost) => {
                self.metrics.lost(lost.name());
                let left = job.deadline.since(clock::now()).as_millis() as u64;
                log::info!(
                    event = "egress_lost", id = job.name(), reason = lost.name(),
                    route = job.route.as_str(), running = running, left_ms = left,
                    repeatable = job.kind.is_repeatable(); ""
                );
            }
        }
    }
}
