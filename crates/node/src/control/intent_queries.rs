//! Asking other nodes for intent while the log can't tell.

use std::net::SocketAddr;
use std::time::Duration;

use quetzalrack_core::ids::Version;
use quetzalrack_core::time::Moment;

use super::ControlEvent;
use super::ControlParts;
use super::intent_sources::IntentSources;
use crate::calls::IntentQuery;

/// How often another node is asked.
const EVERY: Duration = Duration::from_millis(500);

/// Asks one other node after the other, so that a node which starts while the log is down, or
/// which slept past retention, follows what its neighbours follow.
#[derive(Debug, Default)]
pub(super) struct IntentQueries {
    asked: Option<Moment>,
    turn: usize,
}

impl IntentQueries {
    /// Asks the next node when it is time to: in turn one of those that follow the log, the
    /// controller first, and one of all.
    pub(super) fn ask(
        &mut self,
        now: Moment,
        version: Version,
        sources: &IntentSources,
        parts: &ControlParts,
    ) {
        if self.asked.is_some_and(|asked| now.since(asked) < EVERY) {
            return;
        }
        self.asked = Some(now);
        let Some(to) = self.next_node(sources, parts) else {
            return;
        };
        let question = IntentQuery {
            environment: parts.environment.clone(),
            stage: parts.stage,
            version,
        };
        let calls = parts.calls.clone();
        let inbox = parts.inbox.clone();
        parts.runtime.spawn(async move {
            match calls.intent_snapshot(to, &question).await {
                Ok(Some(found)) => inbox.send(ControlEvent::SnapshotFound(Box::new(found))),
                Ok(None) => {}
                Err(error) => log::debug!(event = "intent_question_failed", to:% = to; "{error}"),
            }
        });
    }
}

impl IntentQueries {
    fn next_node(&mut self, sources: &IntentSources, parts: &ControlParts) -> Option<SocketAddr> {
        let turn = self.turn;
        self.turn = self.turn.wrapping_add(1);
        let own = parts.member.control;
        let mut readers = sources.readers.clone();
        readers.retain(|address| *address != own);
        let known = match turn % 2 {
            0 if !readers.is_empty() => readers,
            _ => known_nodes(parts),
        };
        known.get((turn / 2) % known.len().max(1)).copied()
    }
}

fn known_nodes(parts: &ControlParts) -> Vec<SocketAddr> {
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
