//! The name of a node.

use super::macros::name_id;

name_id! {
    /// Names the process beside one backend server, unique in its environment.
    NodeName
}
