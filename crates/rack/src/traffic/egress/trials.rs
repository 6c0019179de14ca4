//! Requests whose content is suspected of ending servers.

use std::time::Duration;

use quetzalrack_core::traffic::poison::KnownEnds;
use quetzalrack_core::traffic::poison::Suspicion;
use quetzalrack_core::traffic::poison::TrialVerdict;
use quetzalrack_mesh::model::ServerNotice;
use quetzalrack_mesh::traffic::RefusalReason;
use quetzalrack_mesh::traffic::suspects::trial_nodes;

use super::Egress;
use super::admission_queue::Slot;
use crate::clock;
use crate::traffic::job::Job;
use crate::traffic::outcome::AttemptReport;
use crate::traffic::outcome::Outcome;

/// When a caller may ask again for a content under which servers end. Until then some operator may have acted.
const RETRY_AFTER_POISON: Duration = Duration::from_secs(60);
/// The same as long as the servers may turn out to be alive.
const RETRY_AFTER_UNCERTAIN: Duration = Duration::from_secs(1);
/// When a caller may ask again for a content that is being tried.
const RETRY_AFTER_TRIAL: Duration = Duration::from_millis(300);
/// The longest wait for another suspect.
const MAX_TRIAL_WAIT: Duration = Duration::from_secs(1);
/// The share of the time left that a request may wait for another suspect.
const TRIAL_WAIT_SHARE: u32 = 2;
/// How often the verdict is looked up while nothing seems to change.
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the refusal of a content under which servers end.
pub(in crate::traffic) fn poison_refusal(certain: bool) -> (RefusalReason, Duration) {
    match certain {
        true => (RefusalReason::Poison, RETRY_AFTER_POISON),
        false => (RefusalReason::Poison, RETRY_AFTER_UNCERTAIN),
    }
}

impl Egress {
    /// Serves a job of another node, with what that node knows of the server and of servers that ended under the
    /// job's content.
    pub(in crate::traffic) async fn serve_peer(
        &self,
        job: &Job,
        told: Option<&ServerNotice>,
        ends: &KnownEnds,
    ) -> AttemptReport {
        self.suspects.merge_ends(job.content, &ends.list);
        if !ends.informed && !self.suspects.wait_informed(job.deadline).await {
            return self.refuse(job, RefusalReason::NodeAway, RETRY_AFTER_UNCERTAIN);
        }
        if self.is_misplaced_trial(job, ends) {
            return self.refuse(job, RefusalReason::Suspected, Duration::ZERO);
        }
        self.serve(job, told).await
    }

    /// Serves a job of this process once it knows what the others know.
    pub(in crate::traffic) async fn serve_informed(&self, job: &Job) -> AttemptReport {
        match self.suspects.wait_informed(job.deadline).await {
            true => self.serve(job, None).await,
            false => self.refuse(job, RefusalReason::NodeAway, RETRY_AFTER_UNCERTAIN),
        }
    }

    fn refuse(&self, job: &Job, reason: RefusalReason, retry_after: Duration) -> AttemptReport {
        let refusal = Outcome::NotRun(reason, retry_after);
        self.record_outcome(job, &refusal);
        AttemptReport {
            load: Some(self.load()),
            ends: self.suspects.ends(&job.content),
            ..AttemptReport::new(refusal)
        }
    }

    /// Waits for a slot at the server. A request whose content is suspected takes none while it has to wait for
    /// another suspect.
    pub(super) async fn acquire_slot(&self, job: &Job) -> Result<Slot, (RefusalReason, Duration)> {
        loop {
            self.wait_for_trial(job).await?;
            let slot = self.queue.acquire(job).await?;
            match self.suspects.try_send(&job.content) {
                TrialVerdict::Send => return Ok(slot),
                TrialVerdict::Wait => {}
                TrialVerdict::Refuse { certain } => return Err(poison_refusal(certain)),
            }
        }
    }

    /// Waits until the job may be sent as far as its content is concerned.
    async fn wait_for_trial(&self, job: &Job) -> Result<(), (RefusalReason, Duration)> {
        let start = clock::now();
        let left = job.deadline.since(start) / TRIAL_WAIT_SHARE;
        let end = start + MAX_TRIAL_WAIT.min(left);
        loop {
            match self.suspects.try_send(&job.content) {
                TrialVerdict::Send => return Ok(()),
                TrialVerdict::Refuse { certain } => return Err(poison_refusal(certain)),
                TrialVerdict::Wait if clock::now() >= end => {
                    return Err((RefusalReason::Suspected, RETRY_AFTER_TRIAL));
                }
                TrialVerdict::Wait => {
                    tokio::time::timeout(TRIAL_POLL_INTERVAL, self.suspects.changed())
                        .await
                        .ok();
                }
            }
        }
    }

    /// Returns whether a node that knows fewer ends than this one chose this server for a content that is to be
    /// tried at others.
    fn is_misplaced_trial(&self, job: &Job, ends: &KnownEnds) -> bool {
        let Suspicion::Suspected { servers } = self.suspects.suspicion(&job.content) else {
            return false;
        };
        let view = self.board.view();
        let is_owned = job.key.is_some() && view.is_keyed(&job.service);
        if is_owned || self.suspects.is_covered(&job.content, &ends.list) {
            return false;
        }
        let known = self.suspects.ends(&job.content);
        let nodes = trial_nodes(&view.directory, &job.service, &job.content, &known.list);
        let mut first = nodes.into_iter().take(servers);
        !first.any(|node| *node == self.node_name)
    }
}
