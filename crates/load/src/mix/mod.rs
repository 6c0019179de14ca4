//! Which routes requests take.

mod route_mix;

pub use route_mix::RouteMix;
