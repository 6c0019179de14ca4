//! Idempotency keys: work that must run at most once.
//!
//! `docs/design/traffic.md` gives the argument why no key runs twice, whatever is lost.

mod execution_outcome;
mod idempotency_decision;
mod idempotency_settings;
mod idempotency_state;
mod idempotency_store;
mod key_outcome;
mod request_digest;
mod stored_header;
mod stored_response;

pub use execution_outcome::ExecutionOutcome;
pub use idempotency_decision::IdempotencyDecision;
pub use idempotency_settings::IdempotencySettings;
pub use idempotency_state::DecodeStateError;
pub use idempotency_state::IdempotencyState;
pub use idempotency_store::IdempotencyStore;
pub use key_outcome::KeyOutcome;
pub use request_digest::RequestDigest;
pub use stored_header::StoredHeader;
pub use stored_response::StoredResponse;
