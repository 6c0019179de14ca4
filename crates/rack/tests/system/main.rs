//! The real program beside stand-ins of the platform, as separate processes on loopback.

mod explained;
mod faults;
mod support;
