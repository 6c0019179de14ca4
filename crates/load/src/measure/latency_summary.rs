//! Latencies in a few figures.

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use crate::drive::Sample;

/// The precision of the histograms, in significant digits.
const DIGITS: u8 = 3;
/// The greatest latency kept apart, in microseconds; greater ones count as this.
const GREATEST_US: u64 = 120_000_000;

/// Holds quantiles of the latencies of whole answers, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LatencySummary {
    /// The median.
    pub p50_ms: f64,
    /// 95 in 100 are at most this.
    pub p95_ms: f64,
    /// 99 in 100 are at most this.
    pub p99_ms: f64,
    /// 999 in 1,000 are at most this.
    pub p999_ms: f64,
    /// The greatest.
    pub max_ms: f64,
}

impl LatencySummary {
    /// Sums the latencies of answered requests up.
    pub fn of<'a, I>(samples: I) -> Self
    where
        I: IntoIterator<Item = &'a Sample>,
    {
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, GREATEST_US, DIGITS) else {
            return Self::default();
        };
        for sample in samples {
            if sample.is_answered() {
                let micros = u64::try_from(sample.latency.as_micros()).unwrap_or(u64::MAX);
                histogram.saturating_record(micros);
            }
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
        Self {
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            max_ms: histogram.max() as f64 / 1e3,
        }
    }
}
