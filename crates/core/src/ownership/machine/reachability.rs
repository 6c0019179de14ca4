//! Probes of the voters before a node becomes controller.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Outbox;
use super::Ownership;
use crate::ids::NodeName;
use crate::ownership::PeerMessage;
use crate::ownership::message::Probe;
use crate::ownership::record::TermState;
use crate::time::Moment;

/// How often voters are probed while a takeover or a claim is due.
const PROBE_PERIOD: Duration = Duration::from_millis(100);
/// How long an echo counts, from the sending of its probe.
const MAX_ECHO_AGE: Duration = Duration::from_millis(600);

/// Remembers the echoes of peers.
///
/// A node that receives nothing takes all other nodes for silent. If it took over or claimed a
/// term, the others, which do receive its messages, would follow it, but it would never receive
/// their acknowledgements, and no slice would have an owner while it receives nothing. So it must
/// first receive echoes from a majority of the voters. This only keeps a node from acting, so it
/// can't give a slice two owners.
#[derive(Debug, Default)]
pub(super) struct Reachability {
    last_probe: Option<Moment>,
    echoes: BTreeMap<NodeName, Moment>,
}

impl Reachability {
    /// Tells whether voters should be probed now, and if so records the probe.
    pub(super) fn start_probe(&mut self, now: Moment) -> bool {
        let due = self
            .last_probe
            .is_none_or(|last| now.since(last) >= PROBE_PERIOD);
        if due {
            self.last_probe = Some(now);
        }
        due
    }

    /// Records an echo of a probe sent at `sent_at`.
    pub(super) fn record_echo(&mut self, now: Moment, node: NodeName, sent_at: Moment) {
        if sent_at <= now {
            let newest = self.echoes.entry(node).or_default();
            *newest = sent_at.max(*newest);
        }
    }

    /// Tells whether this node and those with a recent echo are a majority of `voters`.
    pub(super) fn has_majority(&self, now: Moment, voters: &[NodeName], own: &NodeName) -> bool {
        let reached = |voter: &&NodeName| {
            let echo = self.echoes.get(*voter);
            *voter == own || echo.is_some_and(|sent_at| now.since(*sent_at) <= MAX_ECHO_AGE)
        };
        voters.iter().filter(reached).count() * 2 > voters.len()
    }
}

impl Ownership {
    /// Tells whether this node reaches a majority of every voter set that a controller of `term`
    /// needs, and probes the voters if it does not.
    pub(super) fn reaches_majorities(
        &mut self,
        now: Moment,
        term: &TermState,
        out: &mut Outbox,
    ) -> bool {
        let own = &self.config.member.node;
        let voter_sets = term.voter_sets();
        if voter_sets
            .iter()
            .all(|voters| self.reachability.has_majority(now, voters, own))
        {
            return true;
        }
        if !self.reachability.start_probe(now) {
            return false;
        }
        for member in self.known_members() {
            let votes = voter_sets
                .iter()
                .flatten()
                .any(|voter| *voter == member.node);
            if votes && !self.voter.is_own_name(&member.node) {
                let probe = Probe {
                    reply_to: self.config.member.heartbeat,
                    sent_at: now.0,
                };
                out.send(member.heartbeat, PeerMessage::Probe(probe));
            }
        }
        false
    }
}
