//! Records that the log service no longer keeps.

use crate::support::Cluster;
use crate::support::Layout;

#[test]
fn paused_node() {
    // A node is paused until the records at its offset have expired. It continues at the oldest
    // record, learns the term from the controller or a checkpoint, and claims no term of its own.
    for seed in 0..5 {
        let mut cluster = Cluster::started(seed, Layout::new(5, 1, 10));
        cluster.run(6_000);
        let paused = cluster.controllers()[4];
        let controller = cluster.controller();
        cluster.pause(paused, 40_000);
        cluster.run(5_000);
        cluster.log.expire_all();
        cluster.run(60_000);
        assert_eq!(cluster.controller(), controller, "seed {seed}");
        assert!(
            cluster
                .owners()
                .values()
                .flatten()
                .any(|node| *node == paused)
        );
        cluster.checker.assert_clean();
    }
}

#[test]
fn expired_log() {
    // Every host is replaced after all records in the log have expired. The first claim derives its
    // term from the offset, above every earlier term, so fences keep increasing.
    let mut cluster = Cluster::started(3, Layout::new(4, 1, 8));
    cluster.run(8_000);
    for node in 0..4 {
        cluster.kill(node);
    }
    cluster.run(5_000);
    cluster.log.expire_all();
    for node in 0..4 {
        cluster.start(node);
    }
    cluster.run_until_served(20_000);
    cluster.run(5_000);
    cluster.checker.assert_clean();
}

#[test]
fn emptied_log() {
    // All records in the log expire during an outage. After it a node that reaches no other node
    // reads the log. The running controller writes its term again at once, so the new node's claim
    // follows that term and needs its voters; alone it can't become a second controller.
    for seed in 0..10 {
        let mut cluster = Cluster::started(seed, Layout::new(5, 1, 10));
        cluster.run(6_000);
        let newcomer = cluster.controllers()[4];
        cluster.kill(newcomer);
        cluster.run(4_000);
        cluster.log.down = true;
        cluster.run(2_000 + seed * 700);
        cluster.log.expire_all();
        let others: Vec<usize> = (0..5).filter(|node| *node != newcomer).collect();
        cluster.cut(&[newcomer], &others, true);
        cluster.start(newcomer);
        cluster.run(3_000);
        cluster.log.down = false;
        cluster.run(25_000);
        assert_eq!(cluster.unserved().count(), 0, "seed {seed}");
        assert_ne!(cluster.controller(), Some(newcomer), "seed {seed}");
        cluster.checker.assert_clean();
    }
}
