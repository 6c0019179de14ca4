//! Evaluation of the lines that a fleet has logged.

use std::time::Duration;
use std::time::SystemTime;

use serde_json::Value;

use crate::clients::Downtime;
use crate::fleet::Fleet;
use crate::support::keep_logs;

impl Fleet {
    /// Returns the periods between a graceful shutdown and the next start of a host, by its log
    /// lines.
    pub fn downtimes(&self, index: usize) -> Vec<Downtime> {
        let lines = self.hosts[index].lines.lock().unwrap();
        let at = |line: &Value| {
            let seconds = line["at"].as_f64().unwrap();
            SystemTime::UNIX_EPOCH + Duration::from_secs_f64(seconds)
        };
        let mut downtimes = Vec::new();
        let mut ended = None;
        for line in lines.iter() {
            match line["event"].as_str() {
                Some("traffic_ends") => ended = Some(at(line)),
                Some("traffic_begins") => {
                    downtimes.extend(ended.take().map(|ended| (ended, at(line))));
                }
                _ => {}
            }
        }
        downtimes.extend(ended.map(|ended| (ended, SystemTime::now())));
        downtimes
    }

    /// Returns the lines of requests that were refused for suspicion, other than those of marked contents.
    pub fn innocent_refusals(&self) -> Vec<Value> {
        let lines = self.hosts.iter().flat_map(|host| {
            let lines = host.lines.lock().unwrap();
            let refused = lines.iter().filter(|line| {
                let why = line["why"].as_str();
                matches!(why, Some("poison" | "suspected")) && line["event"] == "not_served"
            });
            refused.cloned().collect::<Vec<_>>()
        });
        lines
            .filter(|line| !line["id"].to_string().contains("ends-servers"))
            .collect()
    }

    /// Keeps the logs for the analysis of a failed run.
    pub fn keep_logs(&self) {
        let lines = self.hosts.iter().map(|host| &host.lines);
        keep_logs(&format!("quetzalrack-soak-{}", self.seed), lines);
    }
}
