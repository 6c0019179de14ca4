//! Claims of a term in the log.

use std::collections::BTreeSet;

use quetzalrack_core::explain::Happening;
use quetzalrack_core::ids::Term;

use crate::support::Cluster;
use crate::support::Faults;
use crate::support::Layout;

#[test]
fn lost_answer() {
    // The answer to every append is lost although the record is stored. Retries carry the same id,
    // so a term is claimed once, and the claimant learns from the log that it won.
    for seed in 0..10 {
        let mut cluster = Cluster::new(seed, Layout::new(4, 1, 8));
        cluster.faults = Faults {
            answer_lost: 100,
            ..Faults::none()
        };
        for node in 0..4 {
            cluster.start(node);
        }
        cluster.run_until_served(5_000);
        cluster.run(10_000);
        assert_eq!(cluster.unserved().count(), 0);
        cluster.checker.assert_clean();
    }
}

#[test]
fn racing_claims() {
    // Every node loses contact with the controller and all deputies at once, and several claim the
    // same term. All readers accept the first claim in log order.
    for seed in 0..20 {
        let mut cluster = Cluster::started(seed, Layout::new(7, 1, 14));
        cluster.run(8_000);
        let all: Vec<usize> = (0..7).collect();
        cluster.cut(&all, &all, true);
        cluster.run(4_000);
        cluster.cuts.clear();
        cluster.run_until_served(15_000);
        let mut winners: BTreeSet<(Term, String)> = BTreeSet::new();
        for (_, _, happening) in &cluster.history {
            if let Happening::TermWon { term, controller } = happening {
                winners.insert((*term, controller.to_string()));
            }
        }
        let terms: BTreeSet<Term> = winners.iter().map(|(term, _)| *term).collect();
        assert_eq!(terms.len(), winners.len(), "one winner a term: {winners:?}");
        cluster.checker.assert_clean();
    }
}
