//! At most once, and no more than a cold server bears.

use std::collections::BTreeMap;

use quetzalrack_core::ids::IdempotencyKey;
use quetzalrack_core::ids::ServerName;

use super::Evidence;
use super::Violation;

/// Finds work that must not repeat and ran more than once.
pub(super) fn check_repeats(evidence: &Evidence) -> Vec<Violation> {
    let mut runs: BTreeMap<IdempotencyKey, Vec<ServerName>> = BTreeMap::new();
    for truth in &evidence.servers {
        for idempotency in truth.runs.iter().filter_map(|run| run.idempotency) {
            let servers = runs.entry(idempotency).or_default();
            servers.push(truth.server.clone());
        }
    }
    runs.into_iter()
        .filter(|(_, servers)| servers.len() > 1)
        .map(|(idempotency, servers)| Violation::Repeated {
            idempotency,
            runs: servers.len(),
            servers,
        })
        .collect()
}

/// Finds servers that had more work than they bear while they were openly cold. A server that
/// turns cold unannounced is left out: nobody can hold back before its answers show it.
pub(super) fn check_cold(evidence: &Evidence) -> Vec<Violation> {
    evidence
        .servers
        .iter()
        .filter(|truth| truth.counts.cold_most > truth.cold_slots.0)
        .map(|truth| Violation::ColdOverload {
            server: truth.server.clone(),
            most: truth.counts.cold_most,
            bound: truth.cold_slots.0,
        })
        .collect()
}
