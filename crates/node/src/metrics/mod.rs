//! Metrics over UDP statsd.

mod report_metrics;

pub use report_metrics::Metrics;
