//! Jobs that wait for the backend server while the process shuts down.

use quetzalrack_core::time::Moment;
use quetzalrack_mesh::traffic::RefusalReason;
use quetzalrack_mesh::traffic::ShutdownTimes;

use super::Egress;
use crate::clock;
use crate::traffic::job::Job;

impl Egress {
    fn shutdown_times(&self) -> Option<ShutdownTimes> {
        self.board.shutdown_times(&self.bounds)
    }

    /// Returns whether a job of another node is taken.
    pub(in crate::traffic) fn takes_peer_job(&self, job: &Job) -> bool {
        self.shutdown_times()
            .is_none_or(|times| times.is_taken_from_peer(clock::now(), job.deadline))
    }

    /// Returns why a job that would still run when the process ends is not passed on any more.
    pub(super) fn shutdown_refusal(&self, now: Moment, job: &Job) -> Option<RefusalReason> {
        let times = self.shutdown_times()?;
        (!times.may_send(now, job.deadline)).then_some(RefusalReason::NodeAway)
    }

    /// Waits until a job can't be passed on any more because the process shuts down.
    pub(super) async fn wait_last_sending(&self, job: &Job) {
        loop {
            if let Some(times) = self.shutdown_times() {
                match times.last_sending(job.deadline) {
                    Some(last) => tokio::time::sleep(last.since(clock::now())).await,
                    None => std::future::pending().await,
                }
                return;
            }
            self.board.changed().await;
        }
    }
}
