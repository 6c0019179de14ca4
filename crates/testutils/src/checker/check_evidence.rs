//! The verdict.

use super::Evidence;
use super::Violation;
use super::answer_checks::check_answers;
use super::owner_checks::check_fences;
use super::owner_checks::check_owners;
use super::owner_checks::check_shared;
use super::run_checks::check_cold;
use super::run_checks::check_repeats;

/// Lists every broken promise that the evidence shows.
pub fn check_evidence(evidence: &Evidence) -> Vec<Violation> {
    [
        check_owners(evidence),
        check_shared(evidence),
        check_fences(evidence),
        check_repeats(evidence),
        check_cold(evidence),
        check_answers(evidence),
    ]
    .concat()
}
