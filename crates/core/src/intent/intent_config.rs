//! What a reader of the intent stream must know.

use std::time::Duration;

use super::Stage;
use crate::ids::EnvironmentName;
use crate::security::KeyRing;

/// Configures a reader of the intent stream.
#[derive(Clone, Debug)]
pub struct IntentConfig {
    /// The environment.
    pub environment: EnvironmentName,
    /// The stage whose intent is followed.
    pub stage: Stage,
    /// The keys of operators; the first also signs snapshots.
    pub keys: KeyRing,
    /// How often the controller republishes a snapshot; must lie well under the log's retention.
    pub copy_every: Duration,
}

impl IntentConfig {
    /// The usual time between snapshots.
    pub const COPY_EVERY: Duration = Duration::from_secs(600);
}
