//! The bound on appends.

/// Admits a number of appends a second, with bursts of up to a tenth of a second's worth.
#[derive(Clone, Copy, Debug)]
pub struct RateBound {
    per_second: f64,
    burst: f64,
    tokens: f64,
    filled_us: u64,
}

impl RateBound {
    /// Makes a full bound.
    pub fn new(per_second: u32, now_us: u64) -> Self {
        let per_second = f64::from(per_second);
        let burst = (per_second / 10.0).max(1.0);
        Self {
            per_second,
            burst,
            tokens: burst,
            filled_us: now_us,
        }
    }

    /// Takes one append's share, or tells that there is none.
    pub fn admit(&mut self, now_us: u64) -> bool {
        let elapsed = now_us.saturating_sub(self.filled_us) as f64 / 1e6;
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.burst);
        self.filled_us = now_us;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
