//! What both commands share: the command line, the logger and the `listening` line.

mod broken_body;
mod command_line;
mod cut_body;
mod listening_line;
mod logging;
mod settings_error;
mod web_server;

pub use broken_body::BrokenBody;
pub use command_line::CommandLine;
pub use cut_body::CutBody;
pub use listening_line::ListeningLine;
pub use logging::start_logging;
pub use settings_error::SettingsError;
pub use web_server::web_server;

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Reads the calendar clock in microseconds since 1970, the time base of every truth record;
/// stand-ins of one machine share it, so that a checker can order what they did.
pub fn wall_us() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
