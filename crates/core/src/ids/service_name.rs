//! The name of a service.

use super::macros::name_id;

name_id! {
    /// Names a service, a set of backend servers that answer the same routes.
    ServiceName
}
