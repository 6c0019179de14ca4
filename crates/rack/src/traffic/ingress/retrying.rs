//! Decides after each attempt whether to retry, and makes the final response.

use http::Response;
use http::StatusCode;
use quetzalrack_core::ids::NodeName;
use quetzalrack_mesh::traffic::OwnerHint;
use quetzalrack_mesh::traffic::RefusalReason;
use quetzalrack_mesh::traffic::retry::RetryBudget;

use super::Ingress;
use super::attempts::Attempts;
use super::attempts::RETRY_AFTER_NO_SERVER;
use super::client_response::empty_response;
use super::client_response::not_run_response;
use super::incoming_request::IncomingRequest;
use super::ingress_node::MIN_ATTEMPT_TIME;
use crate::clock;
use crate::traffic::body::Payload;
use crate::traffic::job::Job;
use crate::traffic::outcome::AttemptReport;
use crate::traffic::outcome::Outcome;

/// How many nodes are tried for one job: each refusal costs a round trip, and after three refusals
/// the service is full everywhere.
const MAX_TRIED_NODES: usize = 4;

/// How many owner hints of refusing nodes are followed in a row: two nodes with outdated tables
/// could name each other forever.
const MAX_OWNER_HINTS: u32 = 2;

/// How often nodes that know of more ends of servers may send a suspected request elsewhere before they are not
/// asked again: each time this node has learned of them.
const MAX_MISPLACED_TRIALS: u32 = 3;

impl Ingress {
    /// Records the report of an attempt; returns whether to make another attempt.
    pub(super) async fn handle_report(
        &self,
        incoming: &IncomingRequest,
        attempts: &mut Attempts,
        node: NodeName,
        report: AttemptReport,
    ) -> bool {
        let job = &incoming.job;
        let repeatable = job.kind.is_repeatable();
        match report.outcome {
            Outcome::Answered(response) => {
                self.count_sent(job, attempts);
                let failed = response.status().is_server_error();
                attempts.response = Some(response);
                failed && repeatable && self.start_retry(incoming, attempts, node, "server_failed")
            }
            Outcome::Lost(lost) => {
                self.count_sent(job, attempts);
                attempts.lost = Some(lost);
                repeatable
                    && !lost.is_timeout()
                    && self.start_retry(incoming, attempts, node, "lost")
            }
            Outcome::NotRun(reason @ RefusalReason::ServerRefused, retry_after) => {
                self.count_sent(job, attempts);
                attempts.last_refusal = (reason, retry_after);
                self.start_retry(incoming, attempts, node, "server_refused")
            }
            Outcome::NotRun(reason @ RefusalReason::Poison, retry_after) => {
                attempts.last_refusal = (reason, retry_after);
                false
            }
            Outcome::NotRun(reason @ RefusalReason::Suspected, retry_after) => {
                // The node knew of more ends than this one, which may now choose it again.
                let is_misplaced = retry_after.is_zero();
                attempts.last_refusal = (reason, retry_after.max(RETRY_AFTER_NO_SERVER));
                attempts.misplaced_trials += u32::from(is_misplaced);
                if !is_misplaced || attempts.misplaced_trials > MAX_MISPLACED_TRIALS {
                    attempts.tried_nodes.push(node);
                }
                !self.has_owner(job) && attempts.tried_nodes.len() < MAX_TRIED_NODES
            }
            Outcome::NotRun(reason, retry_after) => {
                if !reason.is_from_server() {
                    attempts.without_server.push(node.clone());
                }
                attempts.record_refusal(reason, retry_after);
                if job.key.is_some()
                    && reason != RefusalReason::Full
                    && reason != RefusalReason::Expired
                {
                    if self.follow_owner_hint(attempts, &node, report.owner) {
                        return true;
                    }
                    // This node's table is outdated; it will know the owner of the key soon.
                    return self.wait_for_owner(job, attempts).await;
                }
                // Only the owner of a key may serve it, and its limit leaves no turn.
                let is_final = reason == RefusalReason::Expired
                    || self.has_owner(job) && self.is_limited(&node);
                attempts.tried_nodes.push(node);
                !is_final && attempts.tried_nodes.len() < MAX_TRIED_NODES
            }
        }
    }

    /// Returns whether only the owner of the job's key may serve it.
    fn has_owner(&self, job: &Job) -> bool {
        job.key.is_some() && self.board.view().is_keyed(&job.service)
    }

    /// Returns whether a node's server is known to name a rate limit.
    fn is_limited(&self, node: &NodeName) -> bool {
        let notices = self.notices.borrow();
        let known = notices
            .get(node)
            .is_some_and(|notice| notice.limit.is_some());
        known || *node == self.node_name && self.egress.is_limited()
    }

    /// Tries the owner that a refusing node names next if that node's table is newer than this
    /// node's.
    fn follow_owner_hint(
        &self,
        attempts: &mut Attempts,
        refusing_node: &NodeName,
        hint: Option<OwnerHint>,
    ) -> bool {
        let view = self.board.view();
        let is_newer_hint =
            |hint: &OwnerHint| hint.node != *refusing_node && hint.is_newer(&view.directory);
        let Some(hint) = hint.filter(is_newer_hint) else {
            return false;
        };
        attempts.hints_followed += 1;
        attempts.hinted_owner =
            Some(hint.node).filter(|_| attempts.hints_followed <= MAX_OWNER_HINTS);
        attempts.hinted_owner.is_some()
    }

    /// Counts an attempt that reached a server.
    fn count_sent(&self, job: &Job, attempts: &mut Attempts) {
        attempts.sent_count += 1;
        if attempts.sent_count == 1 {
            self.with_budget(&job.service, RetryBudget::deposit);
        }
    }

    /// Withdraws a retry from the budget and returns whether the route, the time left and the
    /// budget allow it.
    fn start_retry(
        &self,
        incoming: &IncomingRequest,
        attempts: &mut Attempts,
        node: NodeName,
        why: &str,
    ) -> bool {
        let in_time = incoming.deadline.since(clock::now()) >= MIN_ATTEMPT_TIME;
        let allowed = attempts.sent_count < incoming.route.attempts
            && in_time
            && self.retry_after_wait(incoming).is_none();
        let nodes = self.board.view().directory.members.len();
        let is_poison = self.suspects.suspicion(&incoming.job.content).is_poison();
        if !allowed
            || is_poison
            || !self.with_budget(&incoming.job.service, |budget, now| {
                budget.withdraw(now, nodes)
            })
        {
            return false;
        }
        self.metrics.retried(why);
        log::info!(
            event = "retry", id = incoming.job.log_id(), content:% = incoming.job.content, why = why, node = node.as_str(),
            sent = attempts.sent_count, left_ms = incoming.deadline.since(clock::now()).as_millis() as u64; ""
        );
        attempts.tried_nodes.push(node);
        true
    }

    /// Makes the final response without waiting any longer.
    pub(super) fn final_response(
        &self,
        incoming: &IncomingRequest,
        attempts: Attempts,
    ) -> Response<Payload> {
        if let Some(response) = attempts.response {
            if !response.status().is_success() {
                self.log_unserved(
                    incoming,
                    "server_failed",
                    response.status(),
                    attempts.sent_count,
                );
            }
            return response;
        }
        let (reason, retry_after) = attempts.last_refusal;
        // Only a request that no server can have run gets the response that promises so.
        let (why, response) = match attempts.lost {
            Some(lost) if lost.is_timeout() => {
                (lost.name(), empty_response(StatusCode::GATEWAY_TIMEOUT))
            }
            Some(lost) => (lost.name(), empty_response(StatusCode::BAD_GATEWAY)),
            None => (reason.name(), not_run_response(retry_after)),
        };
        if reason == RefusalReason::Poison {
            self.metrics.refused_poison(incoming.route.name.as_str());
        }
        self.log_unserved(incoming, why, response.status(), attempts.sent_count);
        response
    }

    pub(super) fn log_unserved(
        &self,
        incoming: &IncomingRequest,
        why: &str,
        status: StatusCode,
        sent: u32,
    ) {
        let job = &incoming.job;
        let view = self.board.view();
        log::info!(
            event = "not_served", id = job.log_id(), content:% = job.content, why = why, status = status.as_u16(), ends = self.suspects.ends_counted(&job.content),
            route = job.route.as_str(), service = job.service.as_str(), sent = sent,
            key = job.key.map_or(-1, i64::from), left_ms = incoming.deadline.since(clock::now()).as_millis() as u64,
            config = view.intent.config.as_ref().map_or(0, |config| config.version),
            confirmed_ms = clock::now().since(view.confirmed).as_millis() as u64,
            epoch = view.directory.epoch.0, owners = view.directory.owners_version; ""
        );
    }
}
