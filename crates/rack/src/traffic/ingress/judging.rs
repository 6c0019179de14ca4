//! What follows from an attempt: another one, or the final answer.

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use quetzalrack_core::ids::NodeName;
use quetzalrack_mesh::traffic::OwnerHint;
use quetzalrack_mesh::traffic::RefusalReason;
use quetzalrack_mesh::traffic::retry::RetryBudget;

use super::Ingress;
use super::answer_client::not_run;
use super::answer_client::plain;
use super::attempts::Attempts;
use super::ingress_node::WORTHWHILE;
use super::intake::Intake;
use crate::clock;
use crate::traffic::job::Job;
use crate::traffic::outcome::Outcome;
use crate::traffic::outcome::Report;

/// How many nodes are asked for one job: each refusal costs a way to and fro, and after three the
/// service is full everywhere.
const MOST_NODES: usize = 4;

/// How many words of refusing nodes are followed one after the other: two nodes with old tables could
/// name each other for ever.
const MOST_WORDS: u32 = 2;

impl Ingress {
    /// Learns from an attempt; tells whether another one is to follow.
    pub(super) async fn go_on(
        &self,
        intake: &Intake,
        attempts: &mut Attempts,
        node: NodeName,
        report: Report,
    ) -> bool {
        let job = &intake.job;
        let repeatable = job.kind.is_repeatable();
        match report.outcome {
            Outcome::Answered(answer) => {
                self.count(job, attempts);
                let failed = answer.status().is_server_error();
                attempts.failure = Some(answer);
                failed && repeatable && self.try_again(intake, attempts, node, "server_failed")
            }
            Outcome::Lost(lost) => {
                self.count(job, attempts);
                attempts.lost = Some(lost);
                repeatable && !lost.is_timeout() && self.try_again(intake, attempts, node, "lost")
            }
            Outcome::NotRun(reason @ RefusalReason::ServerRefused, back) => {
                self.count(job, attempts);
                attempts.refusal = (reason, back);
                self.try_again(intake, attempts, node, "server_refused")
            }
            Outcome::NotRun(reason, back) => {
                attempts.refusal = (reason, back);
                if job.key.is_some()
                    && reason != RefusalReason::Full
                    && reason != RefusalReason::Expired
                {
                    if self.follow_word(attempts, &node, report.owner) {
                        return true;
                    }
                    // The table is behind; the owner of the key is known soon.
                    return self.wait_for_owner(job, attempts).await;
                }
                attempts.tried.push(node);
                reason != RefusalReason::Expired && attempts.tried.len() < MOST_NODES
            }
        }
    }

    /// Takes the owner that a refusing node names for the next one to try, if it knows more than this node.
    fn follow_word(
        &self,
        attempts: &mut Attempts,
        refused: &NodeName,
        word: Option<OwnerHint>,
    ) -> bool {
        let view = self.board.view();
        let newer = |word: &OwnerHint| word.node != *refused && word.is_newer(&view.directory);
        let Some(word) = word.filter(newer) else {
            return false;
        };
        attempts.words += 1;
        attempts.named = Some(word.node).filter(|_| attempts.words <= MOST_WORDS);
        attempts.named.is_some()
    }

    /// Counts an attempt that has reached a server.
    fn count(&self, job: &Job, attempts: &mut Attempts) {
        attempts.sent += 1;
        if attempts.sent == 1 {
            self.budget(&job.service, RetryBudget::deposit);
        }
    }

    /// Takes a second attempt out of the budget, if the route, the time and the budget allow one.
    fn try_again(
        &self,
        intake: &Intake,
        attempts: &mut Attempts,
        node: NodeName,
        why: &str,
    ) -> bool {
        let in_time = intake.due.since(clock::now()) >= WORTHWHILE;
        let allowed = attempts.sent < intake.route.attempts && in_time;
        let nodes = self.board.view().directory.members.len();
        if !allowed
            || !self.budget(&intake.job.service, |budget, now| {
                budget.withdraw(now, nodes)
            })
        {
            return false;
        }
        self.metrics.retried(why);
        log::info!(
            event = "retry", id = intake.job.name(), why = why, node = node.as_str(),
            sent = attempts.sent, left_ms = intake.due.since(clock::now()).as_millis() as u64; ""
        );
        attempts.tried.push(node);
        true
    }

    /// Gives the final answer, at once.
    pub(super) fn conclude(&self, intake: &Intake, attempts: Attempts) -> Response<Bytes> {
        if let Some(answer) = attempts.failure {
            if !answer.status().is_success() {
                self.note(intake, "server_failed", answer.status(), attempts.sent);
            }
            return answer;
        }
        let (reason, back) = attempts.refusal;
        // Only a request that no server can have run is refused with a promise.
        let (why, answer) = match attempts.lost {
            Some(lost) if lost.is_timeout() => (lost.name(), plain(StatusCode::GATEWAY_TIMEOUT)),
            Some(lost) => (lost.name(), plain(StatusCode::BAD_GATEWAY)),
            None => (reason.name(), not_run(back)),
        };
        self.note(intake, why, answer.status(), attempts.sent);
        answer
    }

    pub(super) fn note(&self, intake: &Intake, why: &str, status: StatusCode, sent: u32) {
        let job = &intake.job;
        let view = self.board.view();
        log::info!(
            event = "not_served", id = job.name(), why = why, status = status.as_u16(),
            route = job.route.as_str(), service = job.service.as_str(), sent = sent,
            key = job.key.map_or(-1, i64::from), left_ms = intake.due.since(clock::now()).as_millis() as u64,
            config = view.intent.config.as_ref().map_or(0, |config| config.version),
            confirmed_ms = clock::now().since(view.confirmed).as_millis() as u64,
            epoch = view.directory.epoch.0, owners = view.directory.owners_version; ""
        );
    }
}
