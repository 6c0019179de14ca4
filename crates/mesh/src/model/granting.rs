//! How backend servers get their keys.

use serde::Deserialize;
use serde::Serialize;

/// Says how a node tells the backend server beside it which keys it holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Granting {
    /// In the answers to the server's heartbeats; a hold counts from the sending of the heartbeat.
    #[default]
    ByHeartbeat,
    /// By calls to the server; a hold counts from the arrival of the call.
    ByCall,
}
