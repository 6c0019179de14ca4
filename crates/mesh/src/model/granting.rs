//! How backend servers are granted keys.

use serde::Deserialize;
use serde::Serialize;

/// How a node tells the backend server on its host which keys the server holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Granting {
    /// In the replies to the server's heartbeats; a hold starts when the heartbeat is sent.
    #[default]
    ByHeartbeat,
    /// By calls to the server; a hold starts when the call arrives.
    ByCall,
}
