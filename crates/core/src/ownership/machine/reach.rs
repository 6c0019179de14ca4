//! Which voters a node reaches, and hears.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Outbox;
use super::Ownership;
use crate::ids::NodeName;
use crate::ownership::PeerMessage;
use crate::ownership::message::Probe;
use crate::ownership::record::TermState;
use crate::time::Moment;

/// How often voters are probed while an office is due.
const PROBE_PERIOD: Duration = Duration::from_millis(100);
/// How long an echo counts, from the sending of its probe.
const ECHO_AGE: Duration = Duration::from_millis(600);

/// Remembers the echoes of other nodes.
///
/// A node that hears nobody takes everybody for silent. If it took a rank or claimed a term, the
/// others, which do hear it, would follow it, and it would never hear their acknowledgements: no
/// slice would have an owner while it stays deaf. So it must first hear a majority of the voters.
/// That only keeps a node from acting, so it can't give a slice two owners.
#[derive(Debug, Default)]
pub(super) struct Reach {
    probed: Option<Moment>,
    echoes: BTreeMap<NodeName, Moment>,
}

impl Reach {
    /// Tells whether voters should be probed now, and if so takes it for done.
    pub(super) fn begin_probe(&mut self, now: Moment) -> bool {
        let due = self
            .probed
            .is_none_or(|probed| now.since(probed) >= PROBE_PERIOD);
        if due {
            self.probed = Some(now);
        }
        due
    }

    /// Notes an echo of a probe sent at `asked`.
    pub(super) fn note_echo(&mut self, now: Moment, node: NodeName, asked: Moment) {
        if asked <= now {
            let newest = self.echoes.entry(node).or_default();
            *newest = asked.max(*newest);
        }
    }

    /// Tells whether this node and those it hears are a majority of `voters`.
    pub(super) fn covers(&self, now: Moment, voters: &[NodeName], own: &NodeName) -> bool {
        let heard = |voter: &&NodeName| {
            let echo = self.echoes.get(*voter);
            *voter == own || echo.is_some_and(|asked| now.since(*asked) <= ECHO_AGE)
        };
        voters.iter().filter(heard).count() * 2 > voters.len()
    }
}

impl Ownership {
    /// Tells whether this node hears a majority of every voter set that a controller of `term`
    /// needs, and probes the voters if it does not.
    pub(super) fn hears_voters(&mut self, now: Moment, term: &TermState, out: &mut Outbox) -> bool {
        let own = &self.config.member.node;
        let quorums = term.voter_sets();
        if quorums
            .iter()
            .all(|voters| self.reach.covers(now, voters, own))
        {
            return true;
        }
        if !self.reach.begin_probe(now) {
            return false;
        }
        for member in self.known_members() {
            let votes = quorums.iter().flatten().any(|voter| *voter == member.node);
            if votes && !self.voter.is_own(&member.node) {
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
