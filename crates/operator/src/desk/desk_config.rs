//! What a desk must know.

use std::time::Duration;

use quetzalrack_core::ids::EnvironmentName;
use quetzalrack_core::ids::OperatorName;
use quetzalrack_core::security::KeyRing;

/// Configures an operator's desk.
#[derive(Clone, Debug)]
pub struct DeskConfig {
    /// The environment.
    pub environment: EnvironmentName,
    /// The operator.
    pub operator: OperatorName,
    /// The operators' keys; the first signs.
    pub keys: KeyRing,
    /// How long to wait before the log service is asked again.
    pub pause: Duration,
    /// How often it is asked before the operator is told that it does not answer.
    pub attempts: u32,
}

impl DeskConfig {
    /// The usual wait.
    pub const PAUSE: Duration = Duration::from_millis(300);
    /// The usual number of attempts.
    pub const ATTEMPTS: u32 = 8;
}
