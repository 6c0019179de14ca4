//! Effect of a change of controller on the keys of other nodes.

use crate::support::Cluster;
use crate::support::Layout;

/// Kills a node and returns the longest time in milliseconds that a slice of another node had no
/// holder.
fn untouched_gap(cluster: &mut Cluster, lost: usize) -> u64 {
    let before = cluster.owners();
    cluster.kill(lost);
    let gaps = cluster.longest_gaps(8_000);
    let untouched = gaps.iter().filter(|(slice, _)| before[slice] != Some(lost));
    untouched.map(|(_, gap)| *gap).max().unwrap()
}

#[test]
fn untouched_keys() {
    // The controller fails. The first deputy receives nothing for 450 ms, gets a majority and
    // answers the heartbeats with which voters reported their leases, before any lease ends. Keys
    // on other nodes are served without interruption.
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
    // A deputy that has taken over claims the next term, which has a full list of deputies again.
    // Every slice is served meanwhile.
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

/// Guards against a new controller's routing table that lacks the nodes from which it has no
/// heartbeat yet: every ingress would refuse requests for their servers, although these run.
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
