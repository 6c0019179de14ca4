//! Matching requests to routes.

mod matched_route;
mod path_pattern;
mod route_match;
mod route_table;

pub use matched_route::MatchedRoute;
pub use path_pattern::PathPattern;
pub use route_match::RouteMatch;
pub use route_table::RouteTable;
