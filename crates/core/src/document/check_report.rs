//! The outcome of checking a document.

use std::sync::Arc;

use super::EnvironmentDocument;
use super::Problem;
use super::Severity;
use crate::ids::DocumentDigest;

/// Lists everything wrong with a document; carries it as typed value when there is no error.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckReport {
    /// The digest of the checked bytes.
    pub digest: DocumentDigest,
    /// Errors and warnings, in the order of their places.
    pub problems: Vec<Problem>,
    /// How many more there are than are listed.
    pub hidden: usize,
    /// The document, unless it has an error.
    pub document: Option<Arc<EnvironmentDocument>>,
}

impl CheckReport {
    /// The greatest number of problems listed.
    pub const MAX_PROBLEMS: usize = 100;

    /// Tells whether the document is refused.
    pub fn has_errors(&self) -> bool {
        self.document.is_none()
    }

    /// Counts the listed problems of one severity.
    pub fn count(&self, severity: Severity) -> usize {
        let problems = self.problems.iter();
        problems
            .filter(|problem| problem.severity() == severity)
            .count()
    }
}
