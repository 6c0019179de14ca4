//! The name of a route.

use super::macros::name_id;

name_id! {
    /// Names one route of a service, for reports and explanations.
    RouteName
}
