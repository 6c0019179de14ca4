//! Test support: processes, whole environments, the fault proxy and the checker.

pub mod caller;
pub mod checker;
pub mod environment;
pub mod poll;
pub mod process;
pub mod proxy;
pub mod trial;
