//! How long callers went without an answer.

use std::time::Duration;

use crate::drive::Sample;

/// Returns the longest time between two requests that were answered, with at least one between
/// them that was not; counted by the times at which they were meant to be sent, so that its
/// resolution is the gap between requests.
pub fn longest_outage(samples: &[Sample]) -> Duration {
    let mut ordered: Vec<&Sample> = samples.iter().collect();
    ordered.sort_by_key(|sample| sample.at);
    let mut longest = Duration::ZERO;
    let mut answered = Duration::ZERO;
    let mut is_out = false;
    for sample in ordered {
        if !sample.is_answered() {
            is_out = true;
            longest = longest.max(sample.at.saturating_sub(answered));
            continue;
        }
        if is_out {
            longest = longest.max(sample.at.saturating_sub(answered));
        }
        is_out = false;
        answered = sample.at;
    }
    longest
}

/// Returns the longest time in which no answer came, from the first answer to the last. Requests
/// that wait through an outage and are answered in the end show here, not as refusals; between
/// independent requests of rate r some ten gaps of 1/r are normal.
pub fn longest_silence(samples: &[Sample]) -> Duration {
    let answered = samples.iter().filter(|sample| sample.is_answered());
    let mut ends: Vec<Duration> = answered.map(Sample::end).collect();
    ends.sort();
    let gaps = ends.windows(2).map(|pair| pair[1] - pair[0]);
    gaps.max().unwrap_or_default()
}
