//! Nodes that shut down.

use crate::support::Cluster;
use crate::support::Layout;

#[test]
fn handover() {
    // A node gets SIGTERM. Its slices are handed over without an interruption that callers notice,
    // and only then may the process exit.
    for seed in 0..10 {
        let mut cluster = Cluster::started(seed, Layout::new(4, 2, 16));
        cluster.run(8_000);
        let leaving = seed as usize % cluster.nodes.len();
        cluster.shut_down(leaving);
        let gaps = cluster.longest_gaps(3_000);
        assert!(cluster.nodes[leaving].finished, "seed {seed}");
        cluster.kill(leaving);
        let later = cluster.longest_gaps(4_000);
        assert!(gaps.values().all(|gap| *gap < 100), "seed {seed}");
        assert_eq!(later.values().max(), Some(&0), "seed {seed}");
        cluster.checker.assert_clean();
    }
}

#[test]
fn no_controller_answers() {
    // A node that gets no answer from a controller finishes its requests and exits in bounded time.
    let mut cluster = Cluster::started(4, Layout::new(4, 1, 8));
    cluster.run(8_000);
    let leaving = cluster.controllers()[2];
    cluster.cut(&[leaving], &[0, 1, 2, 3], true);
    cluster.shut_down(leaving);
    cluster.run(4_000);
    assert!(cluster.nodes[leaving].finished);
    cluster.checker.assert_clean();
}
