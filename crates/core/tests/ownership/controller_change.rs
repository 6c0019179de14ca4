//! What a change of controller costs keys on other nodes.

use crate::support::Cluster;
use crate::support::Layout;

/// Returns the longest time that a slice of another node had no holder.
fn untouched_gap(cluster: &mut Cluster, lost: usize) -> u64 {
    let before = cluster.owners();
    cluster.kill(lost);
    let gaps = cluster.longest_gaps(8_000);
    let untouched = gaps.iter().filter(|(slice, _)| before[slice] != Some(lost));
    untouched.map(|(_, gap)| *gap).max().unwrap()
}

#[test]
fn untouched_keys() {
    // The controller dies. The first deputy hears nothing for 450 ms, gathers a majority and
    // answers the heartbeats that voters sent with their reports, before any lease ends: keys on
    // other nodes are served without a break.
    for seed in 0..20 {
        for log_down in [false, true] {
            let mut cluster = Cluster::started(seed, Layout::new(4, 4, 16));
            cluster.run(9_000 + seed * 53);
            cluster.log.down = log_down;
            cluster.run(500);
            let lost = cluster.controller().unwrap();
            assert_eq!(untouched_gap(&mut cluster, lost), 0, "seed {seed}");
            cluster.checker.assert_clean();
        }
    }
}

#[test]
fn new_term() {
    // A deputy that acts names a full line again by claiming the next term. Nothing is unserved
    // meanwhile.
    let mut cluster = Cluster::started(3, Layout::new(4, 4, 16));
    cluster.run(9_000);
    let lost = cluster.controller().unwrap();
    let controllers = cluster.controllers();
    untouched_gap(&mut cluster, lost);
    assert_eq!(cluster.controller(), Some(controllers[1]));
    let gaps = cluster.longest_gaps(8_000);
    assert_eq!(gaps.values().max(), Some(&0));
    assert_ne!(cluster.controllers(), controllers);
    assert!(!cluster.controllers().contains(&lost));
}

/// Guards against tables of a new controller without the nodes that it has not heard yet: every ingress
/// would refuse the requests for their servers, though these live.
#[test]
fn servers_stay_listed() {
    for seed in 0..20 {
        let mut cluster = Cluster::started(seed, Layout::new(4, 4, 16));
        cluster.run(9_000 + seed * 53);
        let lost = cluster.controller().unwrap();
        cluster.kill(lost);
        for _ in 0..2_000 {
            cluster.run(1);
            let unlisted = cluster.unlisted();
            assert!(unlisted.is_empty(), "seed {seed}: {unlisted:?}");
        }
    }
}
