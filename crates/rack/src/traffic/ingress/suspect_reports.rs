//! What the outcome of an attempt tells of its content.

use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::poison::Suspicion;
use quetzalrack_mesh::ownership::DirectoryEntry;
use quetzalrack_mesh::traffic::suspects::LostHop;

use super::Ingress;
use crate::clock;
use crate::traffic::job::Job;
use crate::traffic::outcome::AttemptReport;
use crate::traffic::outcome::LostReason;
use crate::traffic::outcome::Outcome;

impl Ingress {
    /// Records what another node reports of a job's content, which was suspected so when the job was sent at
    /// `sent`, or that it reports nothing.
    pub(super) async fn record_suspects(
        &self,
        job: &Job,
        entry: &DirectoryEntry,
        report: &AttemptReport,
        sent: Moment,
        sent_as: Suspicion,
    ) {
        self.suspects.merge_ends(job.content, &report.ends.list);
        let node = &entry.member.incarnation.node;
        if report.load.is_some() {
            self.suspects.record_contact(node, report.age);
        }
        match (&report.outcome, &entry.member.server) {
            (Outcome::Answered(_), _) => self.suspects.record_answer_elsewhere(job.content),
            // The node was lost with the request, so nobody says whether its server ended.
            (Outcome::Lost(LostReason::Broken | LostReason::TimedOut), Some(server))
                if report.load.is_none() =>
            {
                let lost = LostHop {
                    node: node.clone(),
                    nonce: entry.member.incarnation.nonce,
                    server: server.incarnation.clone(),
                    sent,
                    at: clock::now(),
                };
                let was_last_trial = sent_as.is_last_trial();
                self.suspects
                    .record_lost(job.content, &job.route, lost, was_last_trial);
                self.suspects.wait_told().await;
            }
            _ => {}
        }
    }
}
