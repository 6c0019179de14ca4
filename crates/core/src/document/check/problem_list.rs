//! Problems as they are found.

use super::node::Node;
use crate::document::CheckReport;
use crate::document::Place;
use crate::document::Problem;
use crate::document::ProblemCode;
use crate::document::Severity;

/// Collects problems of one text; counts those beyond the bound, so that a hostile document can't
/// make an endless report.
pub(super) struct ProblemList<'a> {
    text: &'a [u8],
    problems: Vec<Problem>,
    hidden: usize,
    errors: usize,
}

impl<'a> ProblemList<'a> {
    pub fn open(text: &'a [u8]) -> Self {
        Self {
            text,
            problems: Vec::new(),
            hidden: 0,
            errors: 0,
        }
    }

    pub fn has_errors(&self) -> bool {
        self.errors > 0
    }

    pub fn add<F, W>(&mut self, code: ProblemCode, node: &Node<'_>, found: F, wanted: W)
    where
        F: ToString,
        W: ToString,
    {
        let (start, end) = node.span();
        let problem = (code, start, end - start, node.path.clone());
        self.push(problem, found.to_string(), wanted.to_string());
    }

    pub fn add_at(&mut self, code: ProblemCode, offset: usize, found: String, wanted: String) {
        self.push((code, offset, 1, String::new()), found, wanted);
    }

    /// Finds the place of a value.
    pub fn place(&self, node: &Node<'_>) -> Place {
        let (start, end) = node.span();
        Place::of(self.text, start, end - start)
    }

    /// Returns the problems in the order of their places, and how many are not listed.
    pub fn finish(mut self) -> (Vec<Problem>, usize) {
        self.problems
            .sort_by_key(|problem| (problem.place.offset, problem.code));
        (self.problems, self.hidden)
    }

    fn push(&mut self, at: (ProblemCode, usize, usize, String), found: String, wanted: String) {
        let (code, offset, length, path) = at;
        if code.severity() == Severity::Error {
            self.errors += 1;
        }
        if self.problems.len() >= CheckReport::MAX_PROBLEMS {
            self.hidden += 1;
            return;
        }
        self.problems.push(Problem {
            code,
            place: Place::of(self.text, offset, length),
            path,
            found,
            wanted,
        });
    }
}
