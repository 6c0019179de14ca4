//! Outages of the log service.

use crate::support::Cluster;
use crate::support::Layout;

#[test]
fn one_after_another() {
    // The log is down for minutes while the controller, its deputy and a holder fail one after the
    // other. The deputies and their order were agreed before, so each failure costs seconds.
    for seed in 0..5 {
        let mut cluster = Cluster::started(seed, Layout::new(7, 1, 14));
        cluster.run(8_000);
        cluster.log.down = true;
        cluster.run(60_000);
        let controllers = cluster.controllers();
        let holder = (0..7)
            .find(|node| !controllers[..3].contains(node))
            .unwrap();
        for lost in [controllers[0], controllers[1], holder] {
            cluster.kill(lost);
            assert!(cluster.run_until_served(5_000) < 5_000);
            cluster.run(20_000);
            assert_eq!(cluster.unserved().count(), 0, "seed {seed}");
        }
        assert_eq!(cluster.controller(), Some(controllers[2]));
        cluster.log.down = false;
        cluster.run(10_000);
        assert!(!cluster.controllers().contains(&controllers[0]));
        cluster.checker.assert_clean();
    }
}

#[test]
fn start_during_outage() {
    // A node starts while the log is down. It learns from its peers which node is the controller,
    // and gets its share of the slices.
    let mut cluster = Cluster::started(5, Layout::new(5, 1, 10));
    cluster.run(8_000);
    let newcomer = cluster.controllers()[3];
    cluster.kill(newcomer);
    cluster.run(3_000);
    cluster.log.down = true;
    cluster.run(3_000);
    cluster.start(newcomer);
    cluster.run(8_000);
    assert!(
        cluster
            .owners()
            .values()
            .flatten()
            .any(|node| *node == newcomer)
    );
    cluster.checker.assert_clean();
}
