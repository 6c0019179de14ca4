//! The identity of a request that must not run twice.

use super::macros::uuid_id;

uuid_id! {
    /// Identifies a request that runs at most once; version 7 UUIDs contain the time of their
    /// creation.
    IdempotencyKey
}
