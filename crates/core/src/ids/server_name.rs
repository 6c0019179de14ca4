//! The name of a backend server.

use super::macros::name_id;

name_id! {
    /// Names a backend server, unique in its environment.
    ServerName
}
