//! Counters and latencies of a node.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use hdrhistogram::Histogram;
use quetzalrack_mesh::traffic::RefusalReason;
use quetzalrack_mesh::traffic::budget::Kind;

use crate::process::UsageSample;

/// Quantiles on the metrics page.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];
/// Precision of latencies: two digits are enough for the page and take 30 kB per route.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Counts events of a node. Counters only rise; a restart resets them to zero.
#[derive(Debug, Default)]
pub struct Metrics {
    counts: Mutex<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    counters: BTreeMap<String, u64>,
    latencies: BTreeMap<String, Histogram<u64>>,
}

impl Metrics {
    /// Counts a job to which the backend server responded.
    pub fn served(&self) {
        self.add("egress_served_total", "");
    }

    /// Counts a job that certainly did not run here.
    pub fn not_run(&self, reason: RefusalReason) {
        self.add("egress_not_run_total", &label("reason", reason.name()));
    }

    /// Counts a job that may have run and has no response.
    pub fn lost(&self, reason: &str) {
        self.add("egress_lost_total", &label("reason", reason));
    }

    /// Counts a response to a client and records its latency.
    pub fn answered(&self, route: &str, status: u16, time: Duration) {
        let labels = format!("{{route=\"{route}\",status=\"{status}\"}}");
        self.add("ingress_answers_total", &labels);
        let mut counts = self.counts();
        let latencies = counts.latencies.entry(route.to_owned());
        let latencies = latencies.or_insert_with(|| {
            // Two digits are within the allowed range.
            Histogram::new(SIGNIFICANT_DIGITS)
                .unwrap_or_else(|_| unreachable!("0 to 5 digits are allowed"))
        });
        latencies.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
    }

    /// Counts a second attempt.
    pub fn retried(&self, why: &str) {
        self.add("ingress_retries_total", &label("why", why));
    }

    /// Counts a response to a client whose request is not sent any more since servers end under its content.
    pub fn refused_poison(&self, route: &str) {
        self.add("ingress_poison_refused_total", &label("route", route));
    }

    /// Counts an end of the backend server under requests.
    pub fn server_ended(&self) {
        self.add("server_ends_total", "");
    }

    /// Sets the number of contents under which servers have ended.
    pub fn set_suspects(&self, suspects: usize) {
        self.set("suspected_contents", suspects as u64);
    }

    /// Counts a heartbeat of the backend server by its answer.
    pub fn heartbeat(&self, answer: &str) {
        self.add("server_heartbeats_total", &label("answer", answer));
    }

    /// Counts a record, heartbeat or datagram that can't be decoded.
    pub fn unreadable(&self, what: &str) {
        self.add("unreadable_total", &label("what", what));
    }

    /// Counts a call to the metadata store by its outcome.
    pub fn store_call(&self, call: &str, end: &str) {
        self.add(
            "store_calls_total",
            &format!("{{call=\"{call}\",end=\"{end}\"}}"),
        );
    }

    /// Counts a call to the backend server about its keys by its outcome.
    pub fn key_call(&self, call: &str, end: &str) {
        self.add(
            "key_calls_total",
            &format!("{{call=\"{call}\",end=\"{end}\"}}"),
        );
    }

    /// Counts something that the budget had no room for.
    pub fn no_room(&self, kind: Kind) {
        self.add("budget_refused_total", &label("kind", kind.name()));
    }

    /// Counts a holder that was evicted.
    pub fn evicted(&self, kind: Kind) {
        self.add("budget_evicted_total", &label("kind", kind.name()));
    }

    /// Sets how many bytes of a kind are held.
    pub fn set_held(&self, kind: Kind, bytes: u64) {
        let label = label("kind", kind.name());
        self.set(&format!("held_bytes{label}"), bytes);
    }

    /// Sets the number of connections opened to the backend server.
    pub fn set_opened(&self, opened: u64) {
        self.set("server_connections_opened_total", opened);
    }

    /// Sets what the process uses of its host.
    pub fn set_usage(&self, usage: &UsageSample) {
        self.set("memory_bytes", usage.memory.0);
        self.set("memory_peak_bytes", usage.memory_peak.0);
        self.set("client_connections", usage.clients as u64);
        self.set("peer_connections", usage.peers as u64);
        if let Some(descriptors) = usage.descriptors {
            self.set("open_descriptors", descriptors as u64);
        }
    }

    /// Returns the text of the metrics page.
    pub fn page(&self) -> String {
        let counts = self.counts();
        let mut page = String::new();
        for (name, count) in &counts.counters {
            // Writing to a string never fails.
            writeln!(page, "quetzalrack_{name} {count}").ok();
        }
        for (route, latencies) in &counts.latencies {
            for quantile in QUANTILES {
                let seconds = latencies.value_at_quantile(quantile) as f64 / 1e6;
                writeln!(
                    page,
                    "quetzalrack_ingress_seconds{{route=\"{route}\",quantile=\"{quantile}\"}} {seconds}"
                )
                .ok();
            }
            let count = latencies.len();
            writeln!(
                page,
                "quetzalrack_ingress_seconds_count{{route=\"{route}\"}} {count}"
            )
            .ok();
        }
        page
    }

    fn set(&self, name: &str, value: u64) {
        self.counts().counters.insert(name.to_owned(), value);
    }

    fn add(&self, name: &str, labels: &str) {
        let mut counts = self.counts();
        *counts
            .counters
            .entry(format!("{name}{labels}"))
            .or_default() += 1;
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn label(name: &str, value: &str) -> String {
    format!("{{{name}=\"{value}\"}}")
}
