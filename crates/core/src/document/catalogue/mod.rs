//! What each code says in each language; a missing message does not compile.

mod english;
mod nepali;
mod spanish;

use super::ProblemCode;
use crate::language::Language;

/// Returns the message of a code, with places for its values.
pub(super) fn template(language: Language, code: ProblemCode) -> &'static str {
    match language {
        Language::English => english::template(code),
        Language::Spanish => spanish::template(code),
        Language::Nepali => nepali::template(code),
    }
}
