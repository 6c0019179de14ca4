//! The record of a run.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the time since the start of the case.
pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = Mutex::new(BufWriter::new(File::create(path)?));
        Ok(Self {
            started: Instant::now(),
            file,
        })
    }

    pub fn line(&self, text: String) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:9.3} {text}").unwrap();
        file.flush().unwrap();
    }
}
