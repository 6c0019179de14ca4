//! What a verdict is built on.

use quetzalrack_standins::backend::ServerTruth;

use super::AnswerRecord;

/// Holds the truth of all backend servers, in all their lives, and what callers got.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// What the backend servers truly did.
    pub servers: Vec<ServerTruth>,
    /// What callers got.
    pub answers: Vec<AnswerRecord>,
}
