//! Interfaces to the services that nodes depend on.

mod append_outcome;
mod keyed_record;
mod read_outcome;
mod shared_store;

pub use append_outcome::AppendOutcome;
pub use keyed_record::KeyedRecord;
pub use read_outcome::ReadOutcome;
pub use shared_store::SharedStore;
