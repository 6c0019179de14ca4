//! The load of one slice.

use crate::ids::SliceId;

/// The request rate of one slice in the last measurement period.
#[derive(Clone, Debug, PartialEq)]
pub struct SliceLoad {
    /// The slice.
    pub slice: SliceId,
    /// Requests per second.
    pub rate: f32,
}
