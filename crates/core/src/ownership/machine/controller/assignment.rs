//! A grant as the controller records it.

use crate::ids::Fence;
use crate::ids::Incarnation;
use crate::ids::NodeName;
use crate::time::Moment;

/// The grant of a slice to one incarnation of a node.
#[derive(Clone, Debug)]
pub(super) struct Assignment {
    pub(super) node: NodeName,
    pub(super) incarnation: Incarnation,
    pub(super) fence: Fence,
    /// Whether the holder has reported that its backend server accepted the grant.
    pub(super) confirmed: bool,
    /// The latest moment at which the holder's lease ends, on the controller's clock; `None` until
    /// the grant is sent.
    pub(super) latest_end: Option<Moment>,
}
