//! What was sent, answered and run, for `record.txt`.

use std::fs;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Mutex::default(),
        }
    }

    /// Adds a line with the time in milliseconds since the start.
    pub fn add(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} {}", self.start.elapsed().as_millis(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    /// Adds a line and prints it.
    pub fn note(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.add(text);
    }

    pub fn save(&self, folder: &Path) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        fs::write(folder.join("record.txt"), text).expect("the case's folder is writable");
    }
}
