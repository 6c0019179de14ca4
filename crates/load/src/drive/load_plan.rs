//! What load is sent.

use std::time::Duration;

use crate::arrivals::ArrivalShape;
use crate::keys::KeyPlan;
use crate::mix::RouteMix;

/// Describes one load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Requests a second.
    pub rate: f64,
    /// How long requests are sent.
    pub duration: Duration,
    /// How arrivals spread.
    pub shape: ArrivalShape,
    /// The keys.
    pub keys: KeyPlan,
    /// The routes.
    pub mix: RouteMix,
    /// The size of answers in bytes, where the caller checks it; none takes what comes.
    pub bytes: Option<u64>,
    /// Seeds every draw.
    pub seed: u64,
}
