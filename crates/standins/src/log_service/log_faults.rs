//! What the log service does wrong on request.

use quetzalrack_core::time::Milliseconds;
use serde::Deserialize;
use serde::Serialize;

use super::LostAnswer;

/// Is the whole set of faults in force; `PUT /faults` replaces it, and an empty object heals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Answers every call with 503.
    pub down: bool,
    /// Takes reads but refuses appends with 503.
    pub refuse: bool,
    /// Delays every answer.
    pub delay_ms: Milliseconds,
    /// Of how many next appends the answer is lost after the record stands.
    pub lose_answers: u32,
    /// How such an answer is lost.
    pub lost_answer: LostAnswer,
}
