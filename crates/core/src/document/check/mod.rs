//! Finds everything wrong with a document at once, and where.
//!
//! The text is bounded before anything parses it, then read into a tree that knows its places. The
//! fields are compared with [`rules`], and what fits together is judged as far as it can be read.

mod advice;
mod bounds;
mod choices;
mod field_rule;
mod kind;
mod meaning;
mod network_time;
mod node;
mod overlap;
mod problem_list;
mod route_path;
mod rules;
mod shape;
mod unit;

pub use bounds::MAX_BYTES;
pub use bounds::MAX_DEPTH;

use std::sync::Arc;

use super::CheckReport;
use super::EnvironmentDocument;
use super::Problem;
use super::ProblemCode;
use super::Severity;
use crate::ids::DocumentDigest;
use node::Node;
use problem_list::ProblemList;

/// Checks a document's exact bytes. Whatever they are, the outcome is a report, never a panic.
pub fn check(bytes: &[u8]) -> CheckReport {
    let mut problems = ProblemList::open(bytes);
    let document = check_text(bytes, &mut problems);
    let (problems, hidden) = problems.finish();
    let is_right = problems
        .iter()
        .all(|problem| problem.severity() == Severity::Warning);
    CheckReport {
        digest: DocumentDigest::of(bytes),
        document: document.filter(|_| is_right).map(Arc::new),
        problems,
        hidden,
    }
}

/// Opens a document's exact bytes; none when they have any error.
pub fn open(bytes: &[u8]) -> Option<Arc<EnvironmentDocument>> {
    check(bytes).document
}

/// Reports a file that could not be read, so that it looks like any other problem.
pub fn missing_file(name: &str, reason: &str) -> Problem {
    Problem {
        code: ProblemCode::MissingFile,
        place: Default::default(),
        path: String::new(),
        found: name.to_owned(),
        wanted: reason.to_owned(),
    }
}

fn check_text(bytes: &[u8], problems: &mut ProblemList<'_>) -> Option<EnvironmentDocument> {
    let text = bounds::check(bytes, problems)?;
    let tree = bounds::parse(text, problems)?;
    let root = Node::root(&tree);
    shape::check(&root, &rules::DOCUMENT, problems);
    meaning::check(&root, problems);
    advice::check(&root, problems);
    if problems.has_errors() {
        return None;
    }
    match serde_json::from_str(text) {
        Ok(document) => Some(document),
        Err(error) => {
            // The rules and the types disagree; refusing is safe, and the message says where.
            problems.add(ProblemCode::Syntax, &root, error.to_string(), "");
            None
        }
    }
}
