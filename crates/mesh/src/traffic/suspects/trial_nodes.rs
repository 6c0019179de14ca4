//! The servers at which a suspected content is tried.

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::traffic::poison::ContentDigest;
use quetzalrack_core::traffic::poison::ServerEnd;
use quetzalrack_core::traffic::poison::ServerLife;

use crate::ownership::Directory;

/// Returns the nodes whose servers may be tried with a suspected content, the first ones first.
///
/// Every node orders them alike, so that requests which enter at different hosts are tried at the same few
/// servers. A server that has ended under the content may still be listed for a while, and comes last.
pub fn trial_nodes<'a>(
    directory: &'a Directory,
    service: &ServiceName,
    content: &ContentDigest,
    ends: &[ServerEnd],
) -> Vec<&'a NodeName> {
    let text = content.to_string();
    let rank = |node: &NodeName| {
        let parts = [text.as_bytes(), node.as_str().as_bytes()];
        ServerLife::from(ContentDigest::of(parts))
    };
    let members = directory.members.iter();
    let usable = members.filter(|(_, entry)| entry.member.service == *service && entry.is_open());
    let mut ranked: Vec<(bool, ServerLife, &NodeName)> = usable
        .map(|(node, entry)| {
            let server = entry.member.server.as_ref();
            let life = server.map(|server| server.incarnation.life());
            let has_ended = ends.iter().any(|end| Some(end.server) == life);
            (has_ended, rank(node), node)
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, node)| node).collect()
}
