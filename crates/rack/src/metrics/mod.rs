//! Counters and latency histograms, as text on the metrics address.

mod metrics_page;
mod metrics_server;

pub use metrics_page::Metrics;
pub use metrics_server::serve_metrics;
