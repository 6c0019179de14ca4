//! At most one owner at any moment.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::ServerName;
use quetzalrack_core::ids::SliceId;
use quetzalrack_standins::backend::ServerTruth;

use super::Evidence;
use super::Violation;

/// Is one use of a slice: a grant that was taken, or a request that came under it.
struct Use<'a> {
    at_us: u64,
    slice: &'a SliceId,
    fence: Fence,
    server: &'a ServerName,
    /// What was run; none for a grant.
    target: Option<&'a str>,
}

/// Finds work that arrived under an older fence than one already in use, anywhere.
///
/// It looks at all servers together: a server that checks fences protects only itself.
pub(super) fn check_owners(evidence: &Evidence) -> Vec<Violation> {
    let mut uses: Vec<Use<'_>> = evidence.servers.iter().flat_map(uses_of).collect();
    uses.sort_by_key(|used| used.at_us);
    let mut newest: BTreeMap<&SliceId, Fence> = BTreeMap::new();
    let mut found = Vec::new();
    for used in uses {
        let known = newest.entry(used.slice).or_insert(used.fence);
        match used.target {
            Some(target) if used.fence < *known => found.push(Violation::TwoOwners {
                slice: used.slice.clone(),
                server: used.server.clone(),
                target: target.to_owned(),
                older: used.fence,
                newer: *known,
            }),
            _ => *known = used.fence.max(*known),
        }
    }
    found
}

fn uses_of(truth: &ServerTruth) -> Vec<Use<'_>> {
    let grants = truth.grants.iter().filter(|grant| grant.taken);
    let grants = grants.map(|grant| Use {
        at_us: grant.at_us,
        slice: &grant.slice,
        fence: grant.fence,
        server: &truth.server,
        target: None,
    });
    let runs = truth.runs.iter().filter_map(|run| {
        Some(Use {
            at_us: run.arrived_us,
            slice: run.slice.as_ref()?,
            fence: run.fence?,
            server: &truth.server,
            target: Some(&run.target),
        })
    });
    grants.chain(runs).collect()
}

/// Finds one grant in use at two servers of the service that it divides. Work of a service that is
/// not divided may go to any server under its gate's grant.
pub(super) fn check_shared(evidence: &Evidence) -> Vec<Violation> {
    let mut holders: BTreeMap<(&SliceId, Fence), &ServerName> = BTreeMap::new();
    let mut found = Vec::new();
    for truth in &evidence.servers {
        let granted = truth.grants.iter().filter(|grant| grant.taken);
        for grant in granted.filter(|grant| grant.slice.service == truth.service) {
            match holders.entry((&grant.slice, grant.fence)) {
                Entry::Vacant(free) => {
                    free.insert(&truth.server);
                }
                Entry::Occupied(first) if **first.get() != truth.server => {
                    found.push(Violation::SharedFence {
                        slice: grant.slice.clone(),
                        fence: grant.fence,
                        first: (*first.get()).clone(),
                        second: truth.server.clone(),
                    });
                }
                Entry::Occupied(_) => {}
            }
        }
    }
    found
}

/// Finds servers that claim to check fences and went back to an older one.
pub(super) fn check_fences(evidence: &Evidence) -> Vec<Violation> {
    let checking = evidence.servers.iter().filter(|truth| truth.checks_fence);
    checking.flat_map(fences_gone_back).collect()
}

fn fences_gone_back(truth: &ServerTruth) -> Vec<Violation> {
    let mut known: BTreeMap<&SliceId, Fence> = BTreeMap::new();
    let mut found = Vec::new();
    for grant in truth.grants.iter().filter(|grant| grant.taken) {
        let newest = known.entry(&grant.slice).or_insert(grant.fence);
        if grant.fence < *newest {
            found.push(Violation::FenceWentBack {
                slice: grant.slice.clone(),
                server: truth.server.clone(),
                older: grant.fence,
                newer: *newest,
            });
        }
        *newest = grant.fence.max(*newest);
    }
    found
}
