//! Tells when the memory of a process nears its limit.

use quetzalrack_mesh::model::ByteSize;

/// The shares of the limit, in hundredths, at which a line is due.
const LEVELS: [u64; 3] = [50, 75, 90];
/// How far below a share the memory must fall, in hundredths of the limit, before that share is told again.
const HYSTERESIS: u64 = 10;

/// Remembers which shares of the limit were told.
#[derive(Clone, Copy, Debug)]
pub struct MemoryAlarm {
    limit: ByteSize,
    /// How many of the shares were told and not left since.
    told: usize,
    peak: ByteSize,
}

impl MemoryAlarm {
    /// Makes an alarm that has told nothing.
    pub fn new(limit: ByteSize) -> Self {
        Self {
            limit,
            told: 0,
            peak: ByteSize::default(),
        }
    }

    /// Records the memory in use; returns the highest share, in hundredths, that it has newly reached.
    pub fn observe(&mut self, used: ByteSize) -> Option<u64> {
        self.peak = self.peak.max(used);
        let reached = LEVELS
            .iter()
            .filter(|level| used >= self.limit.percent(**level));
        let reached = reached.count();
        let kept = LEVELS
            .iter()
            .filter(|level| used >= self.limit.percent(level.saturating_sub(HYSTERESIS)));
        let kept = kept.count().min(self.told);
        let is_new = reached > kept;
        self.told = reached.max(kept);
        let highest = reached.checked_sub(1)?;
        LEVELS.get(highest).copied().filter(|_| is_new)
    }

    /// Returns the most memory that was recorded.
    pub fn peak(&self) -> ByteSize {
        self.peak
    }

    /// Returns the limit.
    pub fn limit(&self) -> ByteSize {
        self.limit
    }
}
