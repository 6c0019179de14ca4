//! A position in a stream of the log.

use super::macros::number_id;

number_id! {
    /// Names a record's position in one stream of the log service.
    Offset, u64
}
