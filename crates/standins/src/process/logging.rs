//! Logs as JSON lines on standard error.

use flexi_logger::FlexiLoggerError;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;

/// Starts the logger; `RUST_LOG` sets the level, `warn` by default since a stand-in's truth is
/// asked for over HTTP and not read from its log.
pub fn start_logging() -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_env_or_str("warn")?
        .format(flexi_logger::json_format)
        .start()
}
