//! The content of a claim.

use std::collections::BTreeMap;

use super::Context;
use super::Divisions;
use crate::cluster::Member;
use crate::ids::ZoneName;
use crate::ownership::record::Claim;

/// How many voters a term has at most; more would cost datagrams and add little tolerance.
pub(super) const MAX_VOTERS: usize = 15;
/// How many deputies stand in line.
const DEPUTIES: usize = 4;

/// Composes the claim of the next term. `candidates` are the nodes believed to live, in service;
/// `members` is every known node.
pub(super) fn build_claim(
    context: &Context<'_>,
    candidates: Vec<Member>,
    members: Vec<Member>,
    divisions: &Divisions,
) -> Claim {
    let (term, base) = context.log.next_term();
    let mut ordered = interleave_zones(candidates);
    if ordered.is_empty() {
        ordered.push(context.own.clone());
    }
    let line = compose_line(context, &ordered);
    Claim {
        term,
        predecessor: base,
        next_offset: context.log.next_offset(),
        controllers: line,
        voters: choose_voters(ordered),
        members,
        divisions: divisions.named_in(context),
        times: context.times(),
    }
}

/// Chooses an odd count of voters, so that an even split of the zones leaves a majority.
pub(super) fn choose_voters(mut ordered: Vec<Member>) -> Vec<Member> {
    ordered.truncate(MAX_VOTERS);
    if ordered.len().is_multiple_of(2) {
        ordered.pop();
    }
    ordered.sort();
    ordered
}

/// Orders members so that each run takes one of every zone.
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

fn compose_line(context: &Context<'_>, ordered: &[Member]) -> Vec<Member> {
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
    let mut line = vec![controller.clone()];
    line.extend(deputies.into_iter().take(DEPUTIES).cloned());
    line
}
