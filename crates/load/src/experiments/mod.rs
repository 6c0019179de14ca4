//! The experiments: each starts real processes, does something to them under load, and measures.

mod capacity;
mod choice;
mod churn;
mod controller;
mod cost_rate;
mod experiment_name;
mod experiment_options;
mod findings;
mod hot_key;
mod imbalance;
mod log_outage;
mod ownership_change;
mod ownership_watch;
mod racing_operators;
mod rolling_restart;
mod run_experiment;
mod scene;
mod silent_cold;
mod slowed;
mod soak;
mod unavailable;
mod zone;

pub use choice::Choice;
pub use experiment_name::ExperimentName;
pub use experiment_options::ExperimentOptions;
pub use findings::Findings;
pub use ownership_change::OwnershipChange;
pub use ownership_watch::OwnershipWatch;
pub use run_experiment::run_experiment;
pub use scene::Scene;
pub use soak::soak;
