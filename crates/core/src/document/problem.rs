//! One thing wrong with a document.

use serde::Deserialize;
use serde::Serialize;

use super::Place;
use super::ProblemCode;
use super::Severity;
use super::catalogue;
use crate::language::Language;
use crate::language::fill;

/// How a path names the key, told apart from a message's own places.
const KEY: &str = "{key}";

/// Is one error or warning; its code never changes its meaning.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Problem {
    /// The code.
    pub code: ProblemCode,
    /// Where it stands.
    pub place: Place,
    /// The field, as in `services[0].slots`; empty for the document as a whole.
    pub path: String,
    /// What was found.
    pub found: String,
    /// What would be right.
    pub wanted: String,
}

impl Problem {
    /// Returns how bad it is.
    pub fn severity(&self) -> Severity {
        self.code.severity()
    }

    /// Tells what is wrong, in an operator's language.
    pub fn message(&self, language: Language) -> String {
        let template = catalogue::template(language, self.code);
        fill(template, &[&self.path, &self.found, &self.wanted, KEY])
    }
}
