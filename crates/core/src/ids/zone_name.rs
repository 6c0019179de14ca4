//! The name of an availability zone.

use super::macros::name_id;

name_id! {
    /// Names an availability zone of the environment.
    ZoneName
}
