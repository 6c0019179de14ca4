//! The identity of a caller's request.

use super::macros::uuid_id;

uuid_id! {
    /// Identifies one request in every hop and log line.
    RequestId
}
