//! Queries to peers for intent that the log service doesn't provide.

use std::net::SocketAddr;
use std::time::Duration;

use quetzalrack_core::ids::Version;
use quetzalrack_core::time::Moment;

use super::ControlEvent;
use super::ControlParts;
use super::intent_sources::IntentSources;
use crate::calls::IntentQuery;

/// Interval between queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// Queries one peer after the other, so that a node that starts while the log service is unreachable,
/// or that was suspended for longer than the log's retention, follows the same intent as its peers.
#[derive(Debug, Default)]
pub(super) struct IntentQueries {
    last_query: Option<Moment>,
    sequence: usize,
}

impl IntentQueries {
    /// Queries the next peer if the interval has passed. Alternates between the nodes that follow the
    /// log, the controller first, and all known nodes.
    pub(super) fn query_next(
        &mut self,
        now: Moment,
        version: Version,
        sources: &IntentSources,
        parts: &ControlParts,
    ) {
        if self
            .last_query
            .is_some_and(|last_query| now.since(last_query) < QUERY_INTERVAL)
        {
            return;
        }
        self.last_query = Some(now);
        let Some(to) = self.next_peer(sources, parts) else {
            return;
        };
        let query = IntentQuery {
            environment: parts.environment.clone(),
            stage: parts.stage,
            version,
        };
        let calls = parts.calls.clone();
        let inbox = parts.inbox.clone();
        parts.runtime.spawn(async move {
            match calls.intent_snapshot(to, &query).await {
                Ok(Some(snapshot)) => inbox.send(ControlEvent::SnapshotFound(Box::new(snapshot))),
                Ok(None) => {}
                Err(error) => log::debug!(event = "intent_question_failed", to:% = to; "{error}"),
            }
        });
    }
}

impl IntentQueries {
    fn next_peer(&mut self, sources: &IntentSources, parts: &ControlParts) -> Option<SocketAddr> {
        let sequence = self.sequence;
        self.sequence = self.sequence.wrapping_add(1);
        let own = parts.member.control;
        let mut readers = sources.readers.clone();
        readers.retain(|address| *address != own);
        let known = match sequence % 2 {
            0 if !readers.is_empty() => readers,
            _ => known_peers(parts),
        };
        known.get((sequence / 2) % known.len().max(1)).copied()
    }
}

fn known_peers(parts: &ControlParts) -> Vec<SocketAddr> {
    let routing = parts.view.routing.load();
    let mut known: Vec<_> = routing
        .nodes
        .values()
        .map(|node| node.member.control)
        .chain(parts.seeds.iter().copied())
        .filter(|address| *address != parts.member.control)
        .collect();
    known.sort_unstable();
    known.dedup();
    known
}
