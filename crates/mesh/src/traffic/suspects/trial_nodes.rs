//! The servers at which a suspected content is tried.

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::traffic::poison::ContentDigest;
use quetzalrack_core::traffic::poison::ServerEnd;
use quetzalrack_core::traffic::poison::TrialRank;

use crate::ownership::Directory;

/// Returns the nodes whose servers may be tried with a suspected content, the first ones first.
pub fn trial_nodes<'a>(
    directory: &'a Directory,
    service: &ServiceName,
    content: &ContentDigest,
    ends: &[ServerEnd],
) -> Vec<&'a NodeName> {
    let members = directory.members.iter();
    let usable = members.filter(|(_, entry)| entry.member.service == *service && entry.is_open());
    let mut ranked: Vec<(TrialRank, &NodeName)> = usable
        .map(|(node, entry)| {
            let server = entry.member.server.as_ref();
            let life = server.map(|server| server.incarnation.life());
            let has_ended = ends.iter().any(|end| Some(end.server) == life);
            (TrialRank::of(content, node, has_ended), node)
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, node)| node).collect()
}
