//! The record of a case: what was sent, answered and run, each with its time.

use std::fs;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    begun: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { begun: Instant::now(), lines: Arc::default() }
    }

    pub fn note(&self, text: impl Into<String>) {
        let line = (self.begun.elapsed(), text.into());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &Path) {
        let lines = self.lines.lock().unwrap();
        let text: String = lines.iter().map(|(at, line)| format!("{:9.3} {line}\n", at.as_secs_f64())).collect();
        fs::write(path, text).unwrap();
    }
}
