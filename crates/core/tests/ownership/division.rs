//! A document that changes the number of a service's slices.

use std::collections::BTreeSet;

use crate::support::Cluster;
use crate::support::Layout;

#[test]
fn changed_count() {
    // Operators double the number of slices of a service in use. Nodes with the old and the new
    // number would compute different slices, and so different owners, for one key. The number
    // stays as it was, also after a change of controller and a restart of every host.
    let kept = BTreeSet::from([10]);
    let mut cluster = Cluster::started(8, Layout::new(5, 1, 10));
    cluster.run(8_000);
    let before = cluster.owners();
    cluster.layout.slices = 20;
    cluster.put_in_force();
    cluster.run(6_000);
    assert_eq!(cluster.divisions(), kept);
    assert_eq!(cluster.owners(), before);
    let controller = cluster.controller().unwrap();
    cluster.kill(controller);
    cluster.run(8_000);
    assert_ne!(cluster.controller(), Some(controller));
    assert_eq!(cluster.divisions(), kept);
    for node in 0..5 {
        cluster.kill(node);
        cluster.start(node);
    }
    cluster.run(8_000);
    assert_eq!(cluster.unserved().count(), 0);
    assert_eq!(cluster.divisions(), kept);
    cluster.checker.assert_clean();
}
