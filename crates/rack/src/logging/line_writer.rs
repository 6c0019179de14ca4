//! The thread that writes the log.

use std::io;
use std::io::Write;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use flexi_logger::DeferredNow;
use flexi_logger::ErrorChannel;
use flexi_logger::FlexiLoggerError;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use flexi_logger::writers::LogWriter;
use log::Record;
use log::kv::Key;
use log::kv::Value as LogValue;
use log::kv::VisitSource;
use serde_json::Map;
use serde_json::Value;

use super::LineLimits;

/// Maximum number of queued lines. If the reader of stdout stalls, lines are dropped and requests
/// are not delayed.
const MAX_QUEUED_LINES: usize = 2_048;
/// How long the process waits at its end until the queued lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Log levels when `RUST_LOG` is not set; libraries log only warnings and errors.
const DEFAULT_LEVELS: &str = "info, hyper=warn, reqwest=warn";

/// Keeps the logger alive.
pub struct LogHandle {
    lines: SyncSender<Message>,
    _logger: LoggerHandle,
}

#[derive(Debug)]
enum Message {
    Line(String),
    Flush(SyncSender<()>),
}

struct LineLogger {
    lines: SyncSender<Message>,
    limits: Mutex<LineLimits>,
    dropped: AtomicU64,
}

/// Starts the writer thread and installs the process's logger.
pub fn start_logging() -> Result<LogHandle, FlexiLoggerError> {
    let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
    let logger = LineLogger {
        lines: lines.clone(),
        limits: Mutex::default(),
        dropped: AtomicU64::default(),
    };
    let logger = Logger::try_with_env_or_str(DEFAULT_LEVELS)?
        .log_to_writer(Box::new(logger))
        .error_channel(ErrorChannel::DevNull)
        .start()?;
    thread::spawn(move || {
        let mut out = std::io::stdout().lock();
        while let Ok(message) = queue.recv() {
            match message {
                // A write to a closed pipe can't be reported anywhere.
                Message::Line(line) => drop(writeln!(out, "{line}")),
                Message::Flush(done) => drop(done.send(())),
            }
        }
    });
    Ok(LogHandle {
        lines,
        _logger: logger,
    })
}

impl LogHandle {
    /// Waits for a limited time until the queued lines are written.
    pub fn flush(&self) {
        let (done, wait) = sync_channel(1);
        if self.lines.try_send(Message::Flush(done)).is_ok() {
            match wait.recv_timeout(FLUSH_TIMEOUT) {
                Ok(()) | Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {}
            }
        }
    }
}

impl LineLogger {
    fn send(&self, line: String) {
        if self.lines.try_send(Message::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn limits(&self) -> std::sync::MutexGuard<'_, LineLimits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LogWriter for LineLogger {
    fn write(&self, _now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let now = Instant::now();
        let mut fields = Fields::default();
        // If the fields can't be visited, the line is written without them.
        record.key_values().visit(&mut fields).ok();
        let event = fields
            .0
            .get("event")
            .and_then(Value::as_str)
            .unwrap_or("message")
            .to_owned();
        let suppressed = self.limits().drain(now);
        for (kind, count) in suppressed {
            let mut line = line("WARN", "lines_left_out");
            line.insert("of".to_owned(), Value::from(kind));
            line.insert("count".to_owned(), Value::from(count));
            self.send(Value::Object(line).to_string());
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let mut line = line("WARN", "lines_lost");
            line.insert("count".to_owned(), Value::from(dropped));
            self.send(Value::Object(line).to_string());
        }
        if !self.limits().admit(now, &event) {
            return Ok(());
        }
        let mut line = line(record.level().as_str(), &event);
        line.append(&mut fields.0);
        let text = record.args().to_string();
        if !text.is_empty() {
            line.insert("text".to_owned(), Value::from(text));
        }
        self.send(Value::Object(line).to_string());
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

fn line(level: &str, event: &str) -> Map<String, Value> {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut line = Map::new();
    line.insert("at".to_owned(), Value::from(since_epoch.as_secs_f64()));
    line.insert("level".to_owned(), Value::from(level));
    line.insert("event".to_owned(), Value::from(event));
    line
}

#[derive(Default)]
struct Fields(Map<String, Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: LogValue<'kvs>) -> Result<(), log::kv::Error> {
        let integer = value.to_u64().map(Value::from);
        let integer = integer.or_else(|| value.to_i64().map(Value::from));
        let number = integer.or_else(|| value.to_f64().map(Value::from));
        let scalar = number.or_else(|| value.to_bool().map(Value::from));
        let value = scalar.unwrap_or_else(|| Value::from(value.to_string()));
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}
