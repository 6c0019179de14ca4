//! Which keys requests ask for.

mod key_plan;
mod zipf_keys;

pub use key_plan::KeyPlan;
pub use zipf_keys::ZipfKeys;
