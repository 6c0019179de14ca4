//! Judges what the stand-ins counted and what callers got against the promises.

mod answer_checks;
mod answer_record;
mod check_evidence;
mod evidence;
mod owner_checks;
mod run_checks;
mod said_outcome;
mod violation;

pub use answer_record::AnswerRecord;
pub use check_evidence::check_evidence;
pub use evidence::Evidence;
pub use said_outcome::SaidOutcome;
pub use violation::Violation;
