//! What a backend server does wrong on request.

use quetzalrack_core::cluster::ServerState;
use serde::Deserialize;
use serde::Serialize;

/// Is the whole set of faults in force; `PUT /faults` replaces it, and an empty object heals.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerFaults {
    /// Accepts connections and requests but answers nothing until thawed.
    pub frozen: bool,
    /// Stops announcing itself.
    pub silent: bool,
    /// Announces that it drains.
    pub draining: bool,
    /// Answers every request with a true "not run".
    pub shed: bool,
    /// Turns cold now, once, and goes on announcing that it is warm.
    pub turn_cold: bool,
    /// Multiplies the time of every request; none leaves it alone.
    pub straggle: Option<f64>,
    /// Breaks off how many next answers' bodies halfway.
    pub truncate: u32,
    /// Loses how many next answers after the work ran.
    pub lose: u32,
    /// Answers how many next requests with another request's attempt id and body.
    pub cross: u32,
    /// The load it reports instead of the true one.
    pub false_load: Option<f32>,
    /// The state it reports instead of the true one.
    pub false_state: Option<ServerState>,
}
