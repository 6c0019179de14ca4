//! The stand-in for the platform's log service.

mod append_refusal;
mod log_entry_view;
mod log_faults;
mod log_routes;
mod log_settings;
mod log_state;
mod log_truth;
mod lost_answer;
mod rate_bound;
mod read_result;
mod stored_record;
mod stream_log;
mod stream_truth;

pub use append_refusal::AppendRefusal;
pub use log_entry_view::LogEntryView;
pub use log_faults::LogFaults;
pub use log_routes::log_server;
pub use log_settings::LogSettings;
pub use log_state::LogState;
pub use log_truth::LogTruth;
pub use lost_answer::LostAnswer;
pub use rate_bound::RateBound;
pub use read_result::ReadResult;
pub use stored_record::StoredRecord;
pub use stream_log::StreamLog;
pub use stream_truth::StreamTruth;
