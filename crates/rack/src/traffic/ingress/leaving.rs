//! Requests at a process that leaves.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::Ingress;
use super::intake::Intake;
use crate::clock;
use crate::traffic::traffic_node::CLIENTS_LEAVE;

/// How long before SIGKILL the last answers are given: the process ends 0.4 s before it, and they
/// need a moment to be written.
const LAST_ANSWERS: Duration = Duration::from_millis(600);
impl Ingress {
    /// Returns when a client is to come back whose request comes so late to a leaving process that this
    /// would end while the request may still run.
    pub(super) fn ends_before(&self, intake: &Intake) -> Option<Duration> {
        let since = self.board.leaving_since()?;
        let (now, last) = (clock::now(), self.last_answers(since));
        let late = now >= since + CLIENTS_LEAVE && intake.due > last;
        late.then(|| last.since(now) + LAST_ANSWERS)
    }

    /// Returns when the last answers are given by a process that leaves since a moment.
    fn last_answers(&self, since: Moment) -> Moment {
        since + self.settings.bounds.grace.saturating_sub(LAST_ANSWERS)
    }

    /// Waits until the process is about to end. A request that is still somewhere in a queue then
    /// gets an answer, which promises nothing; else its client would see the connection cut.
    pub(super) async fn last_moment(&self) {
        loop {
            if let Some(since) = self.board.leaving_since() {
                let end = self.last_answers(since);
                tokio::time::sleep(end.since(clock::now())).await;
                return;
            }
            self.board.changed().await;
        }
    }
}
