//! Whole answers to one's own request, and true refusals.

use std::collections::BTreeSet;

use quetzalrack_core::ids::IdempotencyKey;
use quetzalrack_core::ids::RequestId;

use super::AnswerRecord;
use super::Evidence;
use super::SaidOutcome;
use super::Violation;

/// Finds crossed and partial answers, and refusals that said "not run" of work that ran.
pub(super) fn check_answers(evidence: &Evidence) -> Vec<Violation> {
    let runs = || evidence.servers.iter().flat_map(|truth| &truth.runs);
    let requests: BTreeSet<RequestId> = runs().filter_map(|run| run.request).collect();
    let works: BTreeSet<IdempotencyKey> = runs().filter_map(|run| run.idempotency).collect();
    let mut found = Vec::new();
    for answer in &evidence.answers {
        found.extend(check_own(answer));
        found.extend(check_whole(answer));
        let request_ran = answer.request.is_some_and(|id| requests.contains(&id));
        let work_ran = answer.request.is_none()
            && answer.idempotency.is_some_and(|work| works.contains(&work));
        if answer.outcome == SaidOutcome::NotRun && (request_ran || work_ran) {
            found.push(Violation::FalseRefusal {
                target: answer.target.clone(),
                request: answer.request,
            });
        }
    }
    found
}

fn check_own(answer: &AnswerRecord) -> Option<Violation> {
    let is_other = answer.body_target.as_ref() != Some(&answer.target)
        || (answer.request.is_some() && answer.body_request != answer.request);
    let is_crossed = answer.outcome == SaidOutcome::Answered && is_other;
    is_crossed.then(|| Violation::CrossedAnswer {
        asked: answer.target.clone(),
        got: answer.body_target.clone(),
    })
}

fn check_whole(answer: &AnswerRecord) -> Option<Violation> {
    let asked = answer.asked_bytes?;
    let is_partial = answer.outcome == SaidOutcome::Answered && answer.body_bytes != asked;
    is_partial.then(|| Violation::PartialAnswer {
        target: answer.target.clone(),
        got: answer.body_bytes,
        asked,
    })
}
