//! Records that expired before they were read.

use crate::ids::Offset;
use crate::time::Moment;

/// Says that a reader missed records: it must not decide orders until a snapshot covers them,
/// because it can't know on which version they build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReadGap {
    /// When it was found.
    pub since: Moment,
    /// The oldest record that was kept; a snapshot that covers everything before it closes the gap.
    pub oldest: Offset,
}
