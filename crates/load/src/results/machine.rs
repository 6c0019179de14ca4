//! Where an experiment ran.

use std::env;
use std::fs;
use std::process::Command;
use std::thread;

use serde::Deserialize;
use serde::Serialize;

/// Names the commit that the binaries were built from.
const BUILT_FROM: &str = "QUETZALRACK_COMMIT";

/// Describes the machine and its noise at the start of an experiment.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Machine {
    /// Processor cores.
    pub cores: usize,
    /// The load average over one minute before the experiment, other work's share.
    pub load_average: f64,
    /// The commit that was measured.
    pub commit: String,
    /// The profile of the build.
    pub profile: String,
}

impl Machine {
    /// Looks at this machine.
    pub fn observe() -> Self {
        let averages = fs::read_to_string("/proc/loadavg").unwrap_or_default();
        let first = averages.split_whitespace().next();
        Self {
            cores: thread::available_parallelism().map_or(0, usize::from),
            load_average: first.and_then(|text| text.parse().ok()).unwrap_or(0.0),
            commit: commit().unwrap_or_else(|| String::from("unknown")),
            profile: String::from(if cfg!(debug_assertions) {
                "debug"
            } else {
                "release"
            }),
        }
    }
}

/// Returns the commit that the binaries were built from: the one named by whoever built them, or
/// that of the work tree, which is the same only while nothing was committed since the build.
fn commit() -> Option<String> {
    if let Ok(named) = env::var(BUILT_FROM) {
        return Some(named);
    }
    let output = Command::new("git")
        .args(["rev-parse", "--short", "HEAD"])
        .output()
        .ok()
        .filter(|output| output.status.success())?;
    Some(String::from_utf8_lossy(&output.stdout).trim().to_owned())
}
