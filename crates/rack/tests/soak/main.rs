//! Random faults around the real program, as separate processes, with the promises checked by what
//! clients and backend servers see.
//!
//! `QUETZALRACK_SOAK_SEEDS` asks for more seeds, `QUETZALRACK_SOAK_FIRST` names the first,
//! `QUETZALRACK_SOAK_JOBS` says how many are played at a time, and `QUETZALRACK_SOAK_HOSTS` sets the
//! number of hosts.
#![allow(clippy::unwrap_used, clippy::panic)]

#[path = "../system/support/mod.rs"]
mod support;

mod clients;
mod fleet;
mod lines;
mod script;

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use fleet::Fleet;

/// How many seeds a usual run plays, and the first of them.
const DEFAULT_SEEDS: u64 = 2;
const DEFAULT_FIRST: u64 = 1;
/// How many are played at a time.
const DEFAULT_JOBS: u64 = 2;
/// How many hosts there are.
const DEFAULT_HOSTS: usize = 7;

fn setting(name: &str, usual: u64) -> u64 {
    let value = std::env::var(format!("QUETZALRACK_SOAK_{name}")).ok();
    value.map_or(usual, |value| value.parse().unwrap())
}

/// Plays one seed; returns what was broken.
fn run_seed(seed: u64, hosts: usize) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .unwrap();
    let broken = runtime.block_on(async {
        let mut fleet = Fleet::start(seed, hosts).await;
        fleet.run().await
    });
    runtime.shutdown_timeout(Duration::from_secs(1));
    broken
}

/// Hosts and servers are killed, paused, told to leave and started again, connections are delayed,
/// cut, reset and silenced, the store is unavailable, slow or silent about what it did; series of these
/// overlap. No caller gets what is not its own, nothing runs twice that may not, "not run" is true, no
/// key has two holders, and everything is served again soon after the last fault.
#[test]
fn random_faults() {
    let first = setting("FIRST", DEFAULT_FIRST);
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
            let broken = run_seed(seed, hosts);
            println!("seed {seed}: {} promises broken", broken.len());
            let named = broken.iter().map(|what| format!("seed {seed}: {what}"));
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

/// Seeds that once showed a fault, each with its cause.
#[test]
fn failed_before() {
    let seeds: [u64; 0] = [];
    for seed in seeds {
        let broken = run_seed(seed, DEFAULT_HOSTS);
        assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
    }
}
