//! Network partitions.

use crate::support::Cluster;
use crate::support::Layout;

fn others(cluster: &Cluster, group: &[usize]) -> Vec<usize> {
    (0..cluster.nodes.len())
        .filter(|node| !group.contains(node))
        .collect()
}

#[test]
fn with_minority() {
    // The controller is cut off with one other node. It loses its majority and stands down; the
    // other nodes get a new controller and all slices.
    for seed in 0..10 {
        let mut cluster = Cluster::started(seed, Layout::new(5, 1, 10));
        cluster.run(6_000);
        let controller = cluster.controller().unwrap();
        let group = [controller, (controller + 1) % 5];
        let rest = others(&cluster, &group);
        cluster.cut(&group, &rest, true);
        cluster.run(5_000);
        assert_eq!(cluster.unserved().count(), 0, "seed {seed}");
        assert!(
            cluster
                .owners()
                .values()
                .flatten()
                .all(|node| rest.contains(node))
        );
        cluster.cuts.clear();
        cluster.run(8_000);
        assert_eq!(cluster.unserved().count(), 0, "seed {seed}");
        assert!(
            cluster
                .owners()
                .values()
                .flatten()
                .any(|node| group.contains(node))
        );
        cluster.checker.assert_clean();
    }
}

#[test]
fn with_majority() {
    // The controller keeps a majority and stays in charge; the slices of the nodes that are cut off
    // move to its side.
    for seed in 0..10 {
        let mut cluster = Cluster::started(seed, Layout::new(5, 1, 10));
        cluster.run(6_000);
        let controller = cluster.controller().unwrap();
        let away = [(controller + 1) % 5, (controller + 3) % 5];
        let rest = others(&cluster, &away);
        cluster.cut(&away, &rest, true);
        cluster.run(5_000);
        assert_eq!(cluster.unserved().count(), 0, "seed {seed}");
        assert!(
            cluster
                .owners()
                .values()
                .flatten()
                .all(|node| rest.contains(node))
        );
        cluster.checker.assert_clean();
    }
}

#[test]
fn from_log_only() {
    // The controller reaches every node but not the log service. Granting does not need the log, so
    // a failed holder's slices are served again.
    let mut cluster = Cluster::started(7, Layout::new(5, 1, 10));
    cluster.run(6_000);
    let controller = cluster.controller().unwrap();
    cluster.log_cuts.insert(controller);
    let holder = (0..5)
        .find(|node| !cluster.controllers()[..2].contains(node))
        .unwrap();
    cluster.kill(holder);
    cluster.run(2_000);
    assert_eq!(cluster.unserved().count(), 0);
    assert_eq!(cluster.controller(), Some(controller));
    cluster.checker.assert_clean();
}

#[test]
fn even_split() {
    // Four zones split two and two. The number of voters is odd, so one side has a majority and owns
    // every slice; the other side owns none.
    for seed in 0..10 {
        let mut cluster = Cluster::started(seed, Layout::new(4, 4, 8));
        cluster.run(8_000);
        let left: Vec<usize> = (0..16).filter(|node| node % 4 < 2).collect();
        let right = others(&cluster, &left);
        cluster.cut(&left, &right, true);
        cluster.run(6_000);
        assert_eq!(cluster.unserved().count(), 0, "seed {seed}");
        let owners = cluster.owners();
        let sides = owners.values().flatten().map(|node| left.contains(node));
        let sides: Vec<bool> = sides.collect();
        assert!(sides.iter().all(|side| *side == sides[0]), "seed {seed}");
        cluster.checker.assert_clean();
    }
}

#[test]
fn one_way_cut() {
    // One direction of one link is cut: the first deputy receives nothing from the controller. It
    // takes over, because it can't tell this from a failed controller. The old controller's own
    // leases end, since its heartbeats do not reach the new one; every other key stays served.
    let mut cluster = Cluster::started(2, Layout::new(5, 1, 10));
    cluster.run(6_000);
    let controllers = cluster.controllers();
    let before = cluster.owners();
    cluster.cut(&[controllers[0]], &[controllers[1]], false);
    let gaps = cluster.longest_gaps(8_000);
    for (slice, gap) in gaps {
        let touched = before[&slice] == Some(controllers[0]);
        assert!(gap == 0 || touched, "{slice} was unserved for {gap} ms");
    }
    assert_eq!(cluster.unserved().count(), 0);
    cluster.checker.assert_clean();
}

#[test]
fn isolated_claimant() {
    // A node that reaches the log but no other node claims terms. The others receive messages from
    // their controller and keep it, so only the isolated node's slices are unserved.
    for seed in 0..10 {
        let mut cluster = Cluster::started(seed, Layout::new(5, 1, 10));
        cluster.run(6_000);
        let isolated = cluster.controllers()[seed as usize % 4 + 1];
        let rest = others(&cluster, &[isolated]);
        let before = cluster.owners();
        cluster.cut(&[isolated], &rest, true);
        for (slice, gap) in cluster.longest_gaps(30_000) {
            let touched = before[&slice] == Some(isolated);
            assert!(gap == 0 || touched, "seed {seed}: {slice} for {gap} ms");
        }
        cluster.cuts.clear();
        cluster.run(10_000);
        assert!(
            cluster
                .owners()
                .values()
                .flatten()
                .any(|node| *node == isolated)
        );
        cluster.checker.assert_clean();
    }
}

#[test]
fn receives_nothing() {
    // A node receives no messages, but its own arrive: once the controller and once the first
    // deputy. All other nodes look failed to it. If it took over a rank or a term, all would follow
    // it, it would never receive a majority, and no slice would have an owner until the cut ends.
    for seed in 0..10 {
        for rank in 0..2 {
            let mut cluster = Cluster::started(seed, Layout::new(5, 1, 10));
            cluster.run(6_000);
            let receiver = cluster.controllers()[rank];
            let rest = others(&cluster, &[receiver]);
            cluster.cut(&rest, &[receiver], false);
            cluster.run(15_000);
            let unserved = cluster.unserved().count();
            assert_eq!(unserved, 0, "seed {seed}, rank {rank}");
            cluster.cuts.clear();
            cluster.run(10_000);
            assert_eq!(cluster.unserved().count(), 0);
            cluster.checker.assert_clean();
        }
    }
}
