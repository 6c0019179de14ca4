//! Authentication by shared keys: of operators' records and of messages between nodes.
//!
//! `docs/operations/promotion.md` tells operators how to replace a key without a restart.

mod key_error;
mod key_ring;
mod key_settings;
mod signature;

pub use key_error::KeyError;
pub use key_ring::KeyRing;
pub use key_settings::KeySettings;
pub use signature::Signature;
