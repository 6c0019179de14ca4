//! A number of connections.

use super::macros::number_id;

number_id! {
    /// Counts the connections that a backend server accepts.
    ConnectionCount, u32
}
