//! How long work takes.

use std::time::Duration;

use rand::Rng;
use rand_distr::Distribution;
use rand_distr::LogNormal;
use serde::Deserialize;
use serde::Serialize;

/// Describes the time of one request as a log-normal distribution, whose long tail resembles that
/// of real servers.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceTime {
    /// The median, in microseconds.
    pub median_us: u32,
    /// The spread of the logarithm; zero makes every request take the median.
    pub sigma: f64,
}

impl ServiceTime {
    /// Draws one request's time; a spread that is no number counts as none.
    pub fn draw<R>(&self, random: &mut R) -> Duration
    where
        R: Rng,
    {
        let median = f64::from(self.median_us.max(1));
        let drawn = LogNormal::new(median.ln(), self.sigma)
            .map_or(median, |distribution| distribution.sample(random));
        Duration::from_secs_f64((drawn / 1e6).clamp(0.0, 60.0))
    }
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            median_us: 4_000,
            sigma: 0.3,
        }
    }
}
