//! A line of a plot.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::Point;
use crate::drive::Sample;
use crate::measure::LatencySummary;

/// Is one line over time.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Line {
    /// What it shows.
    pub label: String,
    /// The points.
    pub points: Vec<Point>,
}

impl Line {
    /// Draws the 99th percentile of each second.
    pub fn p99(label: &str, samples: &[Sample]) -> Self {
        Self::by_second(label, samples, |second| {
            LatencySummary::of(second.iter().copied()).p99_ms
        })
    }

    /// Draws the share of answered requests of each second, in percent.
    pub fn answered(label: &str, samples: &[Sample]) -> Self {
        Self::by_second(label, samples, |second| {
            let answered = second.iter().filter(|sample| sample.is_answered()).count();
            100.0 * answered as f64 / second.len().max(1) as f64
        })
    }

    fn by_second<F>(label: &str, samples: &[Sample], measure: F) -> Self
    where
        F: Fn(&[&Sample]) -> f64,
    {
        let mut seconds: BTreeMap<u64, Vec<&Sample>> = BTreeMap::new();
        for sample in samples {
            seconds.entry(sample.at.as_secs()).or_default().push(sample);
        }
        let points = seconds.iter().map(|(second, samples)| Point {
            x: *second as f64,
            y: measure(samples),
        });
        Self {
            label: label.to_owned(),
            points: points.collect(),
        }
    }
}
