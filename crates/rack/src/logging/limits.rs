//! Bounding the volume of the log.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// The span over which lines are counted.
const SPAN: Duration = Duration::from_secs(1);
/// How many lines one target may write in that span. Refusals under overload are alike; fifty of
/// them a second tell as much as a thousand and cost a fiftieth of the time.
const MOST: u32 = 50;

/// Lets the first lines of each kind through in every second and counts the others.
#[derive(Debug, Default)]
pub struct LineLimits {
    since: Option<Instant>,
    counts: HashMap<String, u32>,
}

impl LineLimits {
    /// Tells whether a line of this kind may be written.
    pub fn admit(&mut self, now: Instant, kind: &str) -> bool {
        let count = match self.counts.get_mut(kind) {
            Some(count) => count,
            None => self.counts.entry(kind.to_owned()).or_default(),
        };
        *count += 1;
        self.since.get_or_insert(now);
        *count <= MOST
    }

    /// Returns, once a span, how many lines of each kind were left out.
    pub fn drain(&mut self, now: Instant) -> Vec<(String, u32)> {
        if self
            .since
            .is_none_or(|since| now.duration_since(since) < SPAN)
        {
            return Vec::new();
        }
        self.since = None;
        let counts = self.counts.drain();
        let over = counts.filter(|(_, count)| *count > MOST);
        over.map(|(kind, count)| (kind, count - MOST)).collect()
    }
}
