//! The contents of a new claim.

use std::collections::BTreeMap;

use super::Context;
use super::Divisions;
use crate::cluster::Member;
use crate::ids::ZoneName;
use crate::ownership::record::Claim;

/// How many voters a term has at most; more would cost datagrams and add little fault tolerance.
pub(super) const MAX_VOTERS: usize = 15;
/// How many deputies a term has at most.
const MAX_DEPUTIES: usize = 4;

/// Builds the claim of the next term. `candidates` are the nodes in service that are believed to be
/// alive; `members` are all known nodes.
pub(super) fn build_claim(
    context: &Context<'_>,
    candidates: Vec<Member>,
    members: Vec<Member>,
    divisions: &Divisions,
) -> Claim {
    let (term, predecessor) = context.log.next_term();
    let mut ordered = interleave_zones(candidates);
    if ordered.is_empty() {
        ordered.push(context.own.clone());
    }
    let controllers = choose_controllers(context, &ordered);
    Claim {
        term,
        predecessor,
        next_offset: context.log.next_offset(),
        controllers,
        voters: choose_voters(ordered),
        members,
        divisions: divisions.named_in(context),
        times: context.times(),
    }
}

/// Chooses an odd number of voters, so that an even split of the zones leaves a majority.
pub(super) fn choose_voters(mut ordered: Vec<Member>) -> Vec<Member> {
    ordered.truncate(MAX_VOTERS);
    if ordered.len().is_multiple_of(2) {
        ordered.pop();
    }
    ordered.sort();
    ordered
}

/// Orders members round-robin by availability zone.
pub(super) fn interleave_zones(mut members: Vec<Member>) -> Vec<Member> {
    members.sort();
    let mut rows: BTreeMap<ZoneName, usize> = BTreeMap::new();
    let mut placed: Vec<(usize, Member)> = Vec::new();
    for member in members {
        let row = rows.entry(member.zone.clone()).or_default();
        placed.push((*row, member));
        *row += 1;
    }
    placed
        .sort_by(|(a, first), (b, second)| (a, &first.zone, first).cmp(&(b, &second.zone, second)));
    placed.into_iter().map(|(_, member)| member).collect()
}

/// Chooses the controller and its deputies in order of rank. The controller is this node if it is a
/// candidate and not leaving; deputies in other zones come first.
fn choose_controllers(context: &Context<'_>, ordered: &[Member]) -> Vec<Member> {
    let own = ordered
        .iter()
        .find(|member| member.node == context.own.node);
    let own = own.filter(|_| !context.leaving);
    let Some(controller) = own.or(ordered.first()).cloned() else {
        return vec![context.own.clone()];
    };
    let mut deputies: Vec<&Member> = ordered
        .iter()
        .filter(|member| member.node != controller.node)
        .collect();
    deputies.sort_by_key(|member| member.zone == controller.zone);
    let mut controllers = vec![controller.clone()];
    controllers.extend(deputies.into_iter().take(MAX_DEPUTIES).cloned());
    controllers
}
