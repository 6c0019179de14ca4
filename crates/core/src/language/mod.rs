//! The languages in which operators are told what happened.

mod operator_language;
mod parse_language_error;
mod template;

pub use operator_language::Language;
pub use parse_language_error::ParseLanguageError;
pub use template::fill;
