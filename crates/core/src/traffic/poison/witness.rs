//! Who noticed the end of a server.

use serde::Deserialize;
use serde::Serialize;

/// Who noticed that a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Witness {
    /// The node beside the server.
    Beside,
    /// The node that sent the request there, as the node beside the server did not report: that one may have
    /// been lost without its server, so this can be taken back.
    Sender,
}
