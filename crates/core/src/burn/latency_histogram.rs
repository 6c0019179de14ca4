//! A histogram of the latencies of a route's answers.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use hdrhistogram::serialization::Deserializer as HistogramReader;
use hdrhistogram::serialization::Serializer as HistogramWriter;
use hdrhistogram::serialization::V2Serializer;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error as _;
use serde::ser::Error as _;

/// Lowest latency that is distinguished.
const LOWEST_US: u64 = 1;
/// Highest latency that is distinguished: two minutes, above every deadline.
const HIGHEST_US: u64 = 120_000_000;
/// Two significant digits keep a histogram under 20 KB while the error stays under 1%.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Length limit of an encoded histogram, in hexadecimal digits.
const MAX_HEX_DIGITS: usize = 256 * 1024;

/// Counts latencies in microseconds; two histograms can be added, and an earlier one of a process
/// can be subtracted from a later one.
#[derive(Clone, PartialEq)]
pub struct LatencyHistogram(Histogram<u64>);

impl LatencyHistogram {
    /// Counts one latency; one above two minutes counts as two minutes.
    pub fn record(&mut self, latency: Duration) {
        let microseconds = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(microseconds);
    }

    /// Adds another histogram's counts.
    pub fn merge(&mut self, other: &Self) {
        // Every histogram of this type has the same bounds, so adding can't fail.
        let _ = self.0.add(&other.0);
    }

    /// Returns the counts added since `earlier`, or all counts if `earlier` is not an earlier state
    /// of this histogram.
    pub fn since(&self, earlier: &Self) -> Self {
        let mut rest = self.clone();
        match rest.0.subtract(&earlier.0) {
            Ok(()) => rest,
            Err(_) => self.clone(),
        }
    }

    /// Returns how many latencies were counted.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Returns the latency below which `share` (0 to 1) of the counted ones lie.
    pub fn quantile(&self, share: f64) -> Duration {
        Duration::from_micros(self.0.value_at_quantile(share))
    }
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        let bounded = Histogram::new_with_bounds(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS);
        // The bounds are constants that the library accepts.
        #[allow(clippy::expect_used)]
        Self(bounded.expect("constant bounds are valid"))
    }
}

impl fmt::Debug for LatencyHistogram {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LatencyHistogram")
            .field("count", &self.count())
            .field("p50", &self.quantile(0.5))
            .field("p99", &self.quantile(0.99))
            .finish()
    }
}

impl Serialize for LatencyHistogram {
    /// Writes the library's own compact form as hexadecimal text.
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let mut bytes = Vec::new();
        V2Serializer::new()
            .serialize(&self.0, &mut bytes)
            .map_err(S::Error::custom)?;
        serializer.serialize_str(&hex::encode(bytes))
    }
}

impl<'de> Deserialize<'de> for LatencyHistogram {
    /// Reads the hexadecimal text; other bounds are refused because counts could not be added.
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        if text.len() > MAX_HEX_DIGITS {
            return Err(D::Error::custom("the histogram is too large"));
        }
        let bytes = hex::decode(text).map_err(D::Error::custom)?;
        let read: Histogram<u64> = HistogramReader::new()
            .deserialize(&mut bytes.as_slice())
            .map_err(D::Error::custom)?;
        let mut histogram = Self::default();
        if read.high() > histogram.0.high() || read.sigfig() != histogram.0.sigfig() {
            return Err(D::Error::custom("the histogram has foreign bounds"));
        }
        histogram.0.add(&read).map_err(D::Error::custom)?;
        Ok(histogram)
    }
}
