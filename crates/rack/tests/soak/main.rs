//! Random faults around the router, which runs as separate processes. The guarantees are checked by
//! what clients and backend servers observe.
//!
//! `QUETZALRACK_SOAK_SEEDS` sets the number of seeds, `QUETZALRACK_SOAK_FIRST` the first of them,
//! `QUETZALRACK_SOAK_JOBS` how many run concurrently, and `QUETZALRACK_SOAK_HOSTS` the number of
//! hosts.
#![allow(clippy::unwrap_used, clippy::panic)]

#[path = "../system/support/mod.rs"]
mod support;

mod clients;
mod fleet;
mod lines;
mod poison;
mod script;

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use fleet::Fleet;

/// Number of seeds by default, and the first of them.
const DEFAULT_SEEDS: u64 = 2;
const DEFAULT_FIRST_SEED: u64 = 1;
/// How many seeds run concurrently.
const DEFAULT_JOBS: u64 = 2;
/// Number of hosts.
const DEFAULT_HOSTS: usize = 7;

fn setting(name: &str, default: u64) -> u64 {
    let value = std::env::var(format!("QUETZALRACK_SOAK_{name}")).ok();
    value.map_or(default, |value| value.parse().unwrap())
}

/// Runs one seed; returns the violated guarantees.
fn run_seed(seed: u64, hosts: usize) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .unwrap();
    let violations = runtime.block_on(async {
        let mut fleet = Fleet::start(seed, hosts).await;
        fleet.run().await
    });
    runtime.shutdown_timeout(Duration::from_secs(1));
    violations
}

/// Guards against violated guarantees under overlapping series of faults: processes and servers are
/// killed, paused, shut down and restarted; connections are delayed, cut, reset and silenced; the
/// store is unavailable, slow or does not confirm appends; servers end under marked contents. No caller receives another's response,
/// no non-idempotent request runs twice, "not run" is true, no key has two holders, no
/// content is sent after the third server has ended under it, no other is refused for suspicion, and everything is
/// served again soon after the last fault.
#[test]
fn random_faults() {
    let first = setting("FIRST", DEFAULT_FIRST_SEED);
    let hosts = usize::try_from(setting("HOSTS", DEFAULT_HOSTS as u64)).unwrap();
    let end = first + setting("SEEDS", DEFAULT_SEEDS);
    let next = AtomicU64::new(first);
    let failed = Mutex::new(Vec::new());
    let work = || {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= end {
                return;
            }
            let violations = run_seed(seed, hosts);
            println!("seed {seed}: {} promises broken", violations.len());
            let named = violations.iter().map(|what| format!("seed {seed}: {what}"));
            failed.lock().unwrap().extend(named);
        }
    };
    thread::scope(|scope| {
        for _ in 0..setting("JOBS", DEFAULT_JOBS) {
            scope.spawn(work);
        }
    });
    let failed = failed.into_inner().unwrap();
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Seeds that failed in the past, each with its cause.
#[test]
fn failed_before() {
    let seeds: [u64; 0] = [];
    for seed in seeds {
        let violations = run_seed(seed, DEFAULT_HOSTS);
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}
