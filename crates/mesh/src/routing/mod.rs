//! Which route a request takes, and which of its services.

mod route_table;
mod weight_wheel;

pub use route_table::RouteTable;
pub use weight_wheel::WeightWheel;
