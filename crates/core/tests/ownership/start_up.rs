//! Start of a whole fleet.

use crate::support::Cluster;
use crate::support::Layout;

/// Limit of a fleet's appends per second; the log accepts several hundred.
const MAX_APPENDS_PER_S: usize = 140;

#[test]
fn empty_environment() {
    // Nodes start beside their backend servers with an empty log. One of them claims the first
    // term, and every slice gets one owner.
    for seed in 0..5 {
        let mut cluster = Cluster::started(seed, Layout::new(4, 2, 16));
        cluster.run(20_000);
        assert_eq!(cluster.unserved().count(), 0);
        cluster.checker.assert_clean();
    }
}

#[test]
fn many_hosts() {
    // 240 hosts start at once with an empty log, which accepts a few hundred appends a second. If
    // all joined at the same time, operators' records would be refused meanwhile. Joins are spread
    // over a time that depends on the size of the document, and stop once a controller handles
    // heartbeats.
    let mut cluster = Cluster::new(1, Layout::new(4, 60, 1));
    for node in 0..cluster.nodes.len() {
        cluster.start(node);
    }
    let mut counts = vec![0];
    for _ in 0..40 {
        cluster.run(250);
        counts.push(cluster.log.entries.len());
    }
    let most = counts.windows(5).map(|second| second[4] - second[0]).max();
    println!(
        "most appends in a second: {most:?}, in all {:?}",
        counts.last()
    );
    assert!(most.is_some_and(|most| most <= MAX_APPENDS_PER_S));
    assert_eq!(cluster.unserved().count(), 0);
    cluster.checker.assert_clean();
}

#[test]
fn early_loss() {
    // One host starts before the others and fails soon after they have started. If it had claimed
    // the first term at once, it would be the only voter. No later term could get the vote that the
    // log requires, and keys would stay unserved forever.
    for seed in 0..10 {
        let mut cluster = Cluster::new(seed, Layout::new(4, 1, 4));
        cluster.start(0);
        cluster.run(2_500);
        for node in 1..cluster.nodes.len() {
            cluster.start(node);
        }
        cluster.run(200 + seed * 150);
        cluster.kill(0);
        cluster.run(12_000);
        assert_eq!(cluster.unserved().count(), 0, "seed {seed}");
        cluster.checker.assert_clean();
    }
}
