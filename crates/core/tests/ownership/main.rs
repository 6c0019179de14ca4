//! Tests of slice ownership in a seeded network of fakes.

#![allow(clippy::unwrap_used, clippy::panic)]

mod answers;
mod claims;
mod control_cost;
mod controller_change;
mod cuts;
mod division;
mod left_out_rules;
mod load_moves;
mod outage;
mod pauses;
mod random_schedules;
mod recovery;
mod restarts;
mod retention;
mod shut_down;
mod start_up;
mod support;
mod zone_service;
