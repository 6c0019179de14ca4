//! The record of what was sent, answered and run.

use std::fs::File;
use std::io;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// A file with one line for each event, in seconds since the start of the run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(File::create(path)?))),
        })
    }

    /// Returns the seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{now:8.3} {text}").ok();
    }

    /// Writes a line, also to standard output.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.now());
        self.line(text);
    }

    pub fn flush(&self) {
        self.file.lock().unwrap().flush().ok();
    }
}
