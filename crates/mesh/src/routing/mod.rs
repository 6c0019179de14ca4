//! Selection of a request's route and service.

mod route_table;
mod weighted_round_robin;

pub use route_table::RouteTable;
pub use weighted_round_robin::WeightedRoundRobin;
