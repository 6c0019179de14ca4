//! The route that a request matches.

use std::sync::Arc;

use crate::document::spec::RouteSpec;
use crate::document::spec::ServiceSpec;

/// A route of a service, and the key in the path of the request.
#[derive(Clone, Debug, PartialEq)]
pub struct MatchedRoute {
    /// The service.
    pub service: Arc<ServiceSpec>,
    /// The route.
    pub route: Arc<RouteSpec>,
    /// The key, decoded; none where the path has no `{key}`.
    pub key: Option<String>,
}

impl MatchedRoute {
    /// Returns whether only the owner of the key's slice may serve the request.
    pub fn needs_owner(&self) -> bool {
        (self.service.divided_by_key && self.key.is_some()) || !self.route.repeatable
    }

    /// Returns whether the request may be sent to any backend server, and more than once.
    pub fn runs_anywhere(&self) -> bool {
        !self.needs_owner()
    }
}
