//! The result of a route lookup.

use super::MatchedRoute;

/// The result of looking up the route of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteMatch {
    /// The request matches this route.
    Found(MatchedRoute),
    /// No route matches.
    NoRoute,
    /// The key's segment is not valid percent-encoded UTF-8.
    BadPath,
}
