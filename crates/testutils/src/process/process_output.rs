//! What a process said.

use std::collections::VecDeque;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

/// How many of the newest lines are kept for error messages.
const KEPT_LINES: usize = 200;

/// Reads a process's output, so that it never blocks on a full pipe, and finds its `listening`
/// line.
#[derive(Debug, Default)]
pub struct ProcessOutput {
    heard: Mutex<Heard>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct Heard {
    lines: VecDeque<String>,
    listening: Option<Value>,
    /// Pipes that are still being read.
    open: usize,
}

impl ProcessOutput {
    /// Follows one pipe until it closes, copying it to a file if one is given.
    pub fn follow<R>(self: &Arc<Self>, pipe: R, mut copy: Option<File>)
    where
        R: Read + Send + 'static,
    {
        let output = Arc::clone(self);
        output.heard().open += 1;
        thread::spawn(move || {
            for line in BufReader::new(pipe).split(b'\n').map_while(Result::ok) {
                let line = String::from_utf8_lossy(&line).into_owned();
                if let Some(file) = &mut copy {
                    // A full disk must not stop the reading.
                    writeln!(file, "{line}").ok();
                }
                output.note(line);
            }
            output.heard().open -= 1;
            output.changed.notify_all();
        });
    }

    /// Waits until every pipe has been read to its end; tells whether that came within `patience`.
    ///
    /// A process can be gone while its last lines still lie in the pipe: a test that looked for an
    /// error message right after the exit would miss it now and then.
    pub fn wait_for_end(&self, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        let mut heard = self.heard();
        while heard.open > 0 {
            let Some(left) = until.checked_duration_since(Instant::now()) else {
                return false;
            };
            heard = self
                .changed
                .wait_timeout(heard, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        true
    }

    fn note(&self, line: String) {
        let mut heard = self.heard();
        if heard.listening.is_none() && line.contains("listening") {
            heard.listening = read_listening(&line);
            self.changed.notify_all();
        }
        if heard.lines.len() == KEPT_LINES {
            heard.lines.pop_front();
        }
        heard.lines.push_back(line);
    }

    /// Waits for the `listening` line.
    pub fn wait_for_listening(&self, patience: Duration) -> Option<Value> {
        let until = Instant::now() + patience;
        let mut heard = self.heard();
        while heard.listening.is_none() {
            let left = until.checked_duration_since(Instant::now())?;
            heard = self
                .changed
                .wait_timeout(heard, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        heard.listening.clone()
    }

    /// Returns the last lines.
    pub fn last_lines(&self, count: usize) -> String {
        let heard = self.heard();
        let skipped = heard.lines.len().saturating_sub(count);
        let lines: Vec<&str> = heard
            .lines
            .iter()
            .skip(skipped)
            .map(String::as_str)
            .collect();
        lines.join("\n")
    }

    fn heard(&self) -> MutexGuard<'_, Heard> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads a `listening` line, whose fields stand at the top or, in a log line, under `kv`.
fn read_listening(line: &str) -> Option<Value> {
    let mut line: Value = serde_json::from_str(line).ok()?;
    let fields = match line.get_mut("kv") {
        Some(fields) => fields.take(),
        None => line,
    };
    (fields["event"] == "listening").then_some(fields)
}
