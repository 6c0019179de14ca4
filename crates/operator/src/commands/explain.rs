//! The command `explain`.

use futures::StreamExt;
use futures::stream;
use quetzalrack_core::cluster::RoutingTable;
use quetzalrack_core::explain::Explanation;
use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::KeyHash;
use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::ids::SliceId;
use quetzalrack_core::time::WallTime;
use serde::Serialize;

use super::Exit;
use super::Report;
use super::Session;
use super::memory_text::memory_text;
use crate::arguments::ExplainCommand;
use crate::nodes::NodeError;
use crate::text::MessageCode;

const MS_PER_SECOND: f64 = 1_000.0;
/// How many nodes are asked at once.
const AT_ONCE: usize = 32;

/// Is what one node remembers.
#[derive(Clone, Debug)]
#[derive(Serialize)]
struct Memory {
    at: WallTime,
    node: NodeName,
    what: Explanation,
}

#[derive(Serialize)]
struct Answer<'a> {
    slice: Option<&'a SliceId>,
    owner: Option<NodeName>,
    fence: Option<Fence>,
    memories: &'a [Memory],
}

/// Answers a question from what the nodes remember.
pub(super) async fn run(session: &mut Session, question: ExplainCommand) -> Report {
    let Some(node) = session.node.clone() else {
        return session.report(Exit::BadInput, MessageCode::NodeNeeded, &[]);
    };
    let routing = match session.nodes.routing(&node).await {
        Ok(routing) => routing,
        Err(error) => return node_down(session, &node, &error),
    };
    match question {
        ExplainCommand::Key { service, key } => explain_key(session, &routing, service, key).await,
        ExplainCommand::Request { request } => {
            explain_text(session, &routing, &request.to_string()).await
        }
        ExplainCommand::Move { slice } => {
            let memories = remember(session, &routing, &slice.service.to_string()).await;
            let memories = about_slice(memories, &slice);
            answer(
                session,
                Some(&slice),
                None,
                None,
                memories,
                &slice.to_string(),
            )
        }
    }
}

async fn explain_key(
    session: &Session,
    routing: &RoutingTable,
    service: ServiceName,
    key: String,
) -> Report {
    let Some(slices) = routing.services.get(&service) else {
        let known: Vec<_> = routing
            .services
            .keys()
            .map(ServiceName::to_string)
            .collect();
        let values: [&str; 2] = [service.as_str(), &known.join(", ")];
        return session.report(Exit::BadInput, MessageCode::UnknownService, &values);
    };
    let index = slices.slice_of(KeyHash::of(&key));
    let owner = slices.owners.get(&index).cloned();
    let slice = SliceId {
        service: service.clone(),
        index,
    };
    let fence = confirmed_fence(session, routing, owner.as_ref(), &slice).await;
    let line = key_line(session, &key, &slice, owner.as_ref(), fence);
    let memories = remember(session, routing, service.as_str()).await;
    let memories = about_slice(memories, &slice);
    if session.json {
        return answer(session, Some(&slice), owner, fence, memories, &key);
    }
    let mut lines = vec![line];
    lines.extend(memories.iter().map(memory_line));
    Report {
        exit: Exit::Done,
        lines,
    }
}

fn key_line(
    session: &Session,
    key: &str,
    slice: &SliceId,
    owner: Option<&NodeName>,
    fence: Option<Fence>,
) -> String {
    let service = slice.service.to_string();
    let slice = slice.to_string();
    match (owner, fence) {
        (Some(owner), Some(fence)) => {
            let values: [&str; 5] = [key, &service, &slice, owner.as_str(), &fence.to_string()];
            session.say(MessageCode::KeyOwned, &values)
        }
        (Some(owner), None) => {
            let values: [&str; 4] = [key, &service, &slice, owner.as_str()];
            session.say(MessageCode::KeyUnsure, &values)
        }
        (None, _) => session.say(MessageCode::KeyUnowned, &[key, &service, &slice]),
    }
}

/// Asks the holder itself: the routing table may be stale, a lease is not.
async fn confirmed_fence(
    session: &Session,
    routing: &RoutingTable,
    owner: Option<&NodeName>,
    slice: &SliceId,
) -> Option<Fence> {
    let member = &routing.nodes.get(owner?)?.member;
    let address = format!("http://{}", member.admin);
    let status = session.nodes.status(&address).await.ok()?;
    let mut leases = status.leases.into_iter();
    let lease = leases.find(|lease| lease.slice == *slice && lease.left_ms > 0)?;
    Some(lease.fence)
}

async fn explain_text(session: &Session, routing: &RoutingTable, text: &str) -> Report {
    let memories = remember(session, routing, text).await;
    answer(session, None, None, None, memories, text)
}

fn answer(
    session: &Session,
    slice: Option<&SliceId>,
    owner: Option<NodeName>,
    fence: Option<Fence>,
    memories: Vec<Memory>,
    subject: &str,
) -> Report {
    if session.json {
        let answer = Answer {
            slice,
            owner,
            fence,
            memories: &memories,
        };
        return Report::json(Exit::Done, &answer);
    }
    if memories.is_empty() {
        return session.report(Exit::Rejected, MessageCode::NothingFound, &[subject]);
    }
    Report {
        exit: Exit::Done,
        lines: memories.iter().map(memory_line).collect(),
    }
}

/// Asks every node what it remembers, in the order of their clocks.
async fn remember(session: &Session, routing: &RoutingTable, text: &str) -> Vec<Memory> {
    let members = routing.nodes.values().map(|node| node.member.clone());
    let asked = stream::iter(members).map(|member| async move {
        let address = format!("http://{}", member.admin);
        let found = session.nodes.explanations(&address, text).await;
        // A node whose memory is missing must not look like one that remembers nothing.
        if let Err(error) = &found {
            let values: [&str; 2] = [member.node.as_str(), &error.to_string()];
            eprintln!("{}", session.say(MessageCode::NodeDown, &values));
        }
        let found = found.unwrap_or_default().into_iter();
        let memories = found.map(|what| Memory {
            at: what.at,
            node: member.node.clone(),
            what,
        });
        memories.collect::<Vec<_>>()
    });
    let answers: Vec<_> = asked.buffer_unordered(AT_ONCE).collect().await;
    let mut memories: Vec<_> = answers.into_iter().flatten().collect();
    memories.sort_by(|one, other| (one.at, &one.node).cmp(&(other.at, &other.node)));
    memories
}

/// Keeps what mentions a slice, in either way of writing it.
fn about_slice(memories: Vec<Memory>, slice: &SliceId) -> Vec<Memory> {
    let named = slice.to_string();
    let typed = serde_json::to_string(slice).unwrap_or_default();
    let mentions = |memory: &Memory| {
        serde_json::to_string(&memory.what.happening)
            .is_ok_and(|text| text.contains(&format!("\"{named}\"")) || text.contains(&typed))
    };
    memories.into_iter().filter(mentions).collect()
}

fn memory_line(memory: &Memory) -> String {
    let what = serde_json::to_value(&memory.what.happening).unwrap_or_default();
    let seconds = memory.at.0 as f64 / MS_PER_SECOND;
    format!("{seconds:.3} {} {}", memory.node, memory_text(&what))
}

fn node_down(session: &Session, node: &str, error: &NodeError) -> Report {
    let values: [&str; 2] = [node, &error.to_string()];
    session.report(Exit::Unknown, MessageCode::NodeDown, &values)
}
