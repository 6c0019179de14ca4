//! The identity of one attempt at a request.

use super::macros::uuid_id;

uuid_id! {
    /// Identifies an attempt; the receiver echoes it, so that a late or misrouted response is
    /// recognised and dropped.
    AttemptId
}
