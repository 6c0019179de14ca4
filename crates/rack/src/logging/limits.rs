//! Rate limit of log lines.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Window over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of lines of one kind per window. Refusals under overload are alike: 50 lines per
/// second are as informative as 1000, and writing them takes a fiftieth of the time.
const MAX_LINES: u32 = 50;

/// Admits the first lines of each kind in every window and counts the others.
#[derive(Debug, Default)]
pub struct LineLimits {
    window_start: Option<Instant>,
    counts: HashMap<String, u32>,
}

impl LineLimits {
    /// Returns whether a line of this kind may be written.
    pub fn admit(&mut self, now: Instant, kind: &str) -> bool {
        let count = match self.counts.get_mut(kind) {
            Some(count) => count,
            None => self.counts.entry(kind.to_owned()).or_default(),
        };
        *count += 1;
        self.window_start.get_or_insert(now);
        *count <= MAX_LINES
    }

    /// Returns, once per window, how many lines of each kind were suppressed.
    pub fn drain(&mut self, now: Instant) -> Vec<(String, u32)> {
        if self
            .window_start
            .is_none_or(|start| now.duration_since(start) < WINDOW)
        {
            return Vec::new();
        }
        self.window_start = None;
        let counts = self.counts.drain();
        let over = counts.filter(|(_, count)| *count > MAX_LINES);
        over.map(|(kind, count)| (kind, count - MAX_LINES))
            .collect()
    }
}
