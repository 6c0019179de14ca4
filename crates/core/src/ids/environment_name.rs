//! The name of an environment.

use super::macros::name_id;

name_id! {
    /// Names the environment that one document describes.
    EnvironmentName
}
