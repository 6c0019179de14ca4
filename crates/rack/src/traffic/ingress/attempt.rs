//! One attempt at a node.

use std::rc::Rc;

use quetzalrack_core::ids::NodeName;
use quetzalrack_mesh::traffic::RefusalReason;

use super::Ingress;
use super::attempts::RETRY_AFTER_NO_SERVER;
use super::placement;
use crate::clock;
use crate::traffic::job::Job;
use crate::traffic::outcome::AttemptReport;
use crate::traffic::outcome::LostReason;
use crate::traffic::outcome::Outcome;

impl Ingress {
    /// Sends a job to a node and records what its report tells.
    pub(super) async fn attempt(&self, job: &Job, node: &NodeName) -> AttemptReport {
        if *node == self.node_name {
            return self.egress.serve_informed(job).await;
        }
        let view = self.board.view();
        let Some(entry) = view.directory.members.get(node) else {
            return AttemptReport::new(Outcome::NotRun(
                RefusalReason::NodeAway,
                RETRY_AFTER_NO_SERVER,
            ));
        };
        self.balancer.borrow_mut().record_sent(node);
        let told = self.notices.borrow().get(node).cloned();
        let ends = self.suspects.ends(&job.content);
        let sent = clock::now();
        let sent_as = self.suspects.suspicion(&job.content);
        let sending = self
            .hops
            .send(entry.member.traffic, job, told.as_ref(), &ends);
        let report = tokio::select! {
            report = sending => report,
            () = placement::wait_unreachable(&self.board, &self.hops, node) => {
                AttemptReport::new(Outcome::Lost(LostReason::Broken))
            }
        };
        if let Outcome::NotRun(RefusalReason::NoDocument, _) = report.outcome
            && let Some(own) = view.directory.members.get(&self.node_name)
        {
            let (to, own) = (entry.member.traffic, own.member.traffic);
            let hops = Rc::clone(&self.hops);
            tokio::task::spawn_local(async move { hops.announce_intent_source(to, own).await });
        }
        self.record_suspects(job, entry, &report, sent, sent_as)
            .await;
        if let Some(notice) = report.notice.clone() {
            self.notices.borrow_mut().record(node, notice);
        }
        let now = clock::now();
        let mut balancer = self.balancer.borrow_mut();
        let failed = match &report.outcome {
            Outcome::Answered(response) => response.status().is_server_error(),
            Outcome::NotRun(reason, _) => *reason == RefusalReason::ServerRefused,
            Outcome::Lost(lost) => !lost.is_timeout() && *lost != LostReason::NoRoom,
        };
        balancer.record_ended(now, node, report.load, failed);
        if let Outcome::Answered(response) = &report.outcome {
            balancer.record_response_size(&job.route, response.body().len());
        }
        if report.load.is_none() && !report.outcome.is_own_lack() {
            balancer.record_unreachable(now, node);
        }
        report
    }
}
