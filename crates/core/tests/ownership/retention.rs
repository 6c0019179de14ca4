//! Records that the log service no longer keeps.

use crate::support::Cluster;
use crate::support::Layout;

#[test]
fn paused_node() {
    // A node sleeps while retention passes its offset. It reads on from the oldest record, learns
    // the term from the controller or a checkpoint, and never starts a term of its own.
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
    // Every host is replaced after everything in the log has expired. The first claim numbers its
    // term after the offset, above every earlier one, so fences go on rising.
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
    // Everything in the log expires during an outage. When the log is back, a node that reaches
    // nobody else reads it. The living controller repeats its term at once, so the newcomer's claim
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
