//! A size in bytes.

use super::macros::number_id;

number_id! {
    /// Measures a body or a message in bytes.
    ByteCount, u64
}
