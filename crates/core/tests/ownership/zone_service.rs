//! Availability zones taken out of service and put back.

use std::collections::BTreeMap;

use quetzalrack_core::ids::SliceId;

use crate::support::Cluster;
use crate::support::Layout;

type Owners = BTreeMap<SliceId, Option<usize>>;

/// Counts the slices whose holder changed.
fn changes(before: &Owners, after: &Owners) -> usize {
    before
        .iter()
        .filter(|(slice, owner)| after[slice] != **owner)
        .count()
}

/// Counts every change of holder within a span, also reverted ones, and returns it with the longest
/// time in milliseconds that a slice had no holder.
fn churn(cluster: &mut Cluster, span_ms: u64) -> (usize, u64) {
    let mut last = cluster.owners();
    let mut moves = 0;
    let mut longest = 0;
    let mut gaps: BTreeMap<SliceId, u64> = BTreeMap::new();
    for _ in 0..span_ms / 5 {
        cluster.run(5);
        for (slice, owner) in cluster.owners() {
            let gap = gaps.entry(slice.clone()).or_default();
            if owner.is_none() {
                *gap += 5;
                longest = longest.max(*gap);
                continue;
            }
            *gap = 0;
            if last[&slice] != owner {
                moves += 1;
                last.insert(slice, owner);
            }
        }
    }
    (moves, longest)
}

#[test]
fn out_and_back() {
    // Operators take a zone out of service: its nodes hand over their slices one by one without an
    // interruption that callers notice, and no other slice moves. Back in service it gets its former
    // share, no more.
    let mut worst_ratio: f64 = 0.0;
    for seed in 0..20 {
        let mut cluster = Cluster::started(seed, Layout::new(4, 4, 16));
        cluster.run(10_000);
        let before = cluster.owners();
        let inside = |owner: &Option<usize>| owner.is_some_and(|node| node % 4 == 2);
        let leaving = before.values().filter(|owner| inside(owner)).count();
        cluster.layout.zones_out.insert(2);
        cluster.put_in_force();
        let (first, first_gap) = churn(&mut cluster, 3_000);
        assert!(!cluster.owners().values().any(inside));
        let (second, second_gap) = churn(&mut cluster, 7_000);
        let out_moves = first + second;
        cluster.layout.zones_out.clear();
        cluster.put_in_force();
        let (back_moves, back_gap) = churn(&mut cluster, 20_000);
        let share = cluster
            .owners()
            .values()
            .filter(|owner| inside(owner))
            .count();
        assert_eq!(share, leaving);
        let ratio = (out_moves + back_moves) as f64 / (2 * leaving) as f64;
        worst_ratio = worst_ratio.max(ratio);
        let gap = first_gap.max(second_gap).max(back_gap);
        println!("out {out_moves}, back {back_moves}, leaving {leaving}, longest gap {gap} ms");
        assert!(gap < 100);
        cluster.checker.assert_clean();
    }
    println!("churn against the necessary minimum: {worst_ratio:.2}");
    assert!(worst_ratio <= 1.1);
}

#[test]
fn server_out() {
    // Operators take one backend server out of service. Its slices move within seconds, no others.
    let mut cluster = Cluster::started(1, Layout::new(4, 2, 16));
    cluster.run(10_000);
    let before = cluster.owners();
    cluster.layout.servers_out.insert(5);
    cluster.put_in_force();
    cluster.run(3_000);
    let after = cluster.owners();
    assert!(!after.values().any(|owner| *owner == Some(5)));
    let held = before.values().filter(|owner| **owner == Some(5)).count();
    assert_eq!(changes(&before, &after), held);
    cluster.checker.assert_clean();
}
