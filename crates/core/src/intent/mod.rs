//! What operators want in force: documents and service orders, replayed from the log.
//!
//! Acceptance is decided by replay, so that every reader of the log reaches the same verdict about
//! every record; `docs/design/configuration.md` says why.

mod accepted_order;
mod copy_schedule;
mod document_store;
mod in_force;
mod intent_action;
mod intent_config;
mod intent_event;
mod intent_happening;
mod intent_snapshot;
mod intent_state;
mod log_record;
mod order;
mod order_body;
mod order_summary;
mod parse_stage_error;
mod read_gap;
mod refused_order;
mod rejection;
mod replay;
mod republish;
mod signed_order;
mod snapshot_body;
mod snapshot_order;
mod stage;
mod stage_state;

pub use accepted_order::AcceptedOrder;
pub use in_force::InForce;
pub use intent_action::IntentAction;
pub use intent_config::IntentConfig;
pub use intent_event::IntentEvent;
pub use intent_happening::IntentHappening;
pub use intent_snapshot::IntentSnapshot;
pub use intent_state::IntentState;
pub use log_record::LogRecord;
pub use order::Order;
pub use order_body::OrderBody;
pub use order_summary::OrderSummary;
pub use parse_stage_error::ParseStageError;
pub use rejection::Rejection;
pub use signed_order::SignedOrder;
pub use stage::Stage;
pub use stage_state::StageState;
