//! A number of concurrent requests.

use super::macros::number_id;

number_id! {
    /// Counts the requests that a backend server works on at once.
    SlotCount, u32
}
