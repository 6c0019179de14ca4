//! How long keys stay unserved after nodes fail.

use quetzalrack_core::explain::Happening;

use crate::support::Cluster;
use crate::support::Layout;

const SEEDS: u64 = 20;
const MAX_UNSERVED_MS: u64 = 5_000;
/// Heartbeat interval, plus the delivery times of the last heartbeat and of the confirmation.
const TOLERANCE_MS: i64 = 400 + 50;

/// Kills nodes in 20 seeds and returns the median and the longest time without a holder, in
/// milliseconds.
fn measure(title: &str, log_down: bool, choose: impl Fn(&Cluster) -> Vec<usize>) -> (u64, u64) {
    let mut worst_of_seed: Vec<u64> = Vec::new();
    for seed in 0..SEEDS {
        let mut cluster = Cluster::started(seed, Layout::new(4, 4, 16));
        cluster.run(12_000 + seed * 37);
        cluster.log.down = log_down;
        cluster.run(3_000);
        let lost = choose(&cluster);
        for node in lost {
            cluster.kill(node);
        }
        let gaps = cluster.longest_gaps(9_000);
        assert_eq!(cluster.unserved().count(), 0, "seed {seed}");
        cluster.checker.assert_clean();
        worst_of_seed.push(gaps.values().copied().max().unwrap());
    }
    worst_of_seed.sort();
    let (median, worst) = (worst_of_seed[10], worst_of_seed[19]);
    println!("{title}, log down {log_down}: median {median} ms, worst {worst} ms");
    (median, worst)
}

fn holder(cluster: &Cluster) -> Vec<usize> {
    let controllers = cluster.controllers();
    (0..cluster.nodes.len())
        .filter(|node| !controllers.contains(node))
        .take(1)
        .collect()
}

fn controller(cluster: &Cluster) -> Vec<usize> {
    vec![cluster.controller().unwrap()]
}

fn both(cluster: &Cluster) -> Vec<usize> {
    [controller(cluster), holder(cluster)].concat()
}

fn controller_and_deputy(cluster: &Cluster) -> Vec<usize> {
    cluster.controllers()[..2].to_vec()
}

fn zone(cluster: &Cluster) -> Vec<usize> {
    let zone = cluster.layout.zone_of(cluster.controller().unwrap());
    (0..cluster.nodes.len())
        .filter(|node| cluster.layout.zone_of(*node) == zone)
        .collect()
}

#[test]
fn lost_holder() {
    // A host fails. Its keys are unserved until its leases have certainly ended and a majority has
    // answered a round that began later; then other nodes get them.
    for log_down in [false, true] {
        assert!(measure("holder", log_down, holder).1 < MAX_UNSERVED_MS);
    }
}

#[test]
fn lost_controller() {
    // The controller fails and the deputy takes over. Only the keys of the failed host are unserved:
    // no node reports them, so they are granted after two lease times.
    for log_down in [false, true] {
        assert!(measure("controller", log_down, controller).1 < MAX_UNSERVED_MS);
    }
}

#[test]
fn lost_both() {
    // The controller and a holder fail at once.
    for log_down in [false, true] {
        assert!(measure("controller and holder", log_down, both).1 < MAX_UNSERVED_MS);
    }
}

#[test]
fn lost_deputy_too() {
    // The controller and the first deputy fail at once, so the second deputy has to take over.
    for log_down in [false, true] {
        let (_, worst) = measure(
            "controller and first deputy",
            log_down,
            controller_and_deputy,
        );
        assert!(worst < MAX_UNSERVED_MS);
    }
}

#[test]
fn lost_zone() {
    // The whole availability zone of the controller fails.
    for log_down in [false, true] {
        assert!(measure("zone of the controller", log_down, zone).1 < MAX_UNSERVED_MS);
    }
}

#[test]
fn reported_gap() {
    // A host fails and its keys are unserved until they are granted again. The time that the
    // controller reports to operators is the actual one within a heartbeat interval and delivery
    // times: it counts from the failed host's last heartbeat, not from the end of its lease.
    let mut cluster = Cluster::started(3, Layout::new(4, 4, 16));
    cluster.run(12_000);
    let lost = holder(&cluster)[0];
    let before = cluster.owners();
    let killed = cluster.history.len();
    cluster.kill(lost);
    let gaps = cluster.longest_gaps(5_000);
    let mut reported = 0;
    for (_, _, happening) in &cluster.history[killed..] {
        let Happening::GrantConfirmed { slice, waited, .. } = happening else {
            continue;
        };
        if before[slice] != Some(lost) {
            continue;
        }
        let off = i64::from(waited.0) - i64::try_from(gaps[slice]).unwrap();
        assert!(off.abs() <= TOLERANCE_MS, "{slice}: off by {off} ms");
        reported += 1;
    }
    assert_eq!(
        reported,
        before
            .values()
            .filter(|owner| **owner == Some(lost))
            .count()
    );
}
