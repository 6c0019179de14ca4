//! Refusals: what a caller is told when no backend server responded to its request.

mod refusal_code;
mod work_outcome;

pub use refusal_code::RefusalCode;
pub use work_outcome::WorkOutcome;
