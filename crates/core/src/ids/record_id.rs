//! The identity of a log record.

use super::macros::uuid_id;

uuid_id! {
    /// Identifies a record; a retried append keeps it, so that readers drop the second occurrence.
    RecordId
}
