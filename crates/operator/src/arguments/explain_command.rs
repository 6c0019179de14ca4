//! What can be explained.

use clap::Subcommand;
use quetzalrack_core::ids::RequestId;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::ids::SliceId;

/// Is a question.
#[derive(Clone, Debug)]
#[derive(Subcommand)]
pub enum ExplainCommand {
    /// Tell who owns a key, and why
    Key {
        /// The service
        service: ServiceName,
        /// The key, as it stands in the path
        key: String,
    },
    /// Tell what happened to a request
    Request {
        /// The id from the quetzalrack-request header
        request: RequestId,
    },
    /// Tell why a slice moved
    Move {
        /// The slice, as service/index
        slice: SliceId,
    },
}
