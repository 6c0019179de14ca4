//! The search for a controller.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::Outbox;
use super::Ownership;
use super::RecordKind;
use crate::cluster::Member;
use crate::ids::NodeName;
use crate::ownership::PeerMessage;
use crate::ownership::message::ControllerQuery;
use crate::ownership::record::ControlBody;
use crate::ownership::record::TermState;
use crate::time::Moment;

/// How often other nodes are asked for the controller.
const INQUIRY_PERIOD: Duration = Duration::from_millis(300);
/// How many nodes are asked each time.
const ASKED_NODES: usize = 3;
/// The shortest span over which the joins of a starting fleet are spread.
const JOIN_SPREAD: Duration = Duration::from_millis(300);
/// What each backend server that the document expects adds to that span: the log takes several
/// hundred appends a second, and a hundred joins a second leave room for all else.
const JOIN_SPACE: Duration = Duration::from_millis(10);
/// How long a node with no controller waits before it joins again.
const JOIN_PERIOD: Duration = Duration::from_millis(10_000);

/// Remembers what a node without a controller has tried.
#[derive(Debug, Default)]
pub(super) struct Search {
    pub(super) since: Option<Moment>,
    asked: Option<Moment>,
    /// This node's place in the span over which joins are spread, from 0 to 1.
    join_place: Option<f64>,
    joined: Option<Moment>,
    pub(super) claim_at: Option<Moment>,
    pub(super) claims: u32,
    pub(super) claim_seen: Option<Moment>,
}

impl Search {
    /// Notes that a claim won a term, whose controller needs time to show itself.
    pub(super) fn note_claim(&mut self, now: Moment) {
        self.claim_seen = Some(now);
        self.claim_at = None;
    }

    fn end(&mut self) {
        let claim_seen = self.claim_seen;
        *self = Self {
            claim_seen,
            ..Self::default()
        };
    }
}

impl Ownership {
    /// Looks for a controller while none is heard: asks other nodes, joins through the log, and in
    /// the end claims the next term.
    pub(super) fn search_controller(&mut self, now: Moment, out: &mut Outbox) {
        if self.hears_controller(now) {
            self.search.end();
            self.appender.cancel(RecordKind::Join);
            if self.controller.is_none() {
                self.appender.cancel(RecordKind::Claim);
            }
            return;
        }
        self.search.since.get_or_insert(now);
        self.ask_nodes(now, out);
        if self.log.is_current() && self.leaving.is_none() {
            self.join_cell(now, out);
            self.claim_term(now, out);
        }
    }

    pub(super) fn hears_controller(&self, now: Moment) -> bool {
        if self
            .controller
            .as_ref()
            .is_some_and(|known| known.is_established())
        {
            return true;
        }
        let silence = self.voter.last_heard().map(|heard| now.since(heard));
        silence.is_some_and(|silence| silence < self.voter.times().lease() / 2)
    }

    fn ask_nodes(&mut self, now: Moment, out: &mut Outbox) {
        let due = self
            .search
            .asked
            .is_none_or(|asked| now.since(asked) >= INQUIRY_PERIOD);
        if !due {
            return;
        }
        self.search.asked = Some(now);
        let own = self.config.member.heartbeat;
        let mut known: Vec<SocketAddr> = self
            .known_members()
            .into_iter()
            .map(|member| member.heartbeat)
            .chain(self.config.peers.iter().copied())
            .filter(|address| *address != own)
            .collect();
        for _ in 0..ASKED_NODES.min(known.len()) {
            let at = self.rng.random_range(0..known.len());
            let inquiry = ControllerQuery {
                node: self.config.member.node.clone(),
                incarnation: self.config.member.incarnation,
            };
            out.send(known.swap_remove(at), PeerMessage::ControllerQuery(inquiry));
        }
    }

    fn join_cell(&mut self, now: Moment, out: &mut Outbox) {
        let drawn = self.rng.random::<f64>();
        let place = *self.search.join_place.get_or_insert(drawn);
        let since = self.search.since.unwrap_or(now);
        let due = match self.search.joined {
            Some(joined) => joined + JOIN_PERIOD,
            None => since + self.join_spread().mul_f64(place),
        };
        if due > now || self.appender.has(RecordKind::Join) {
            return;
        }
        self.search.joined = Some(now);
        let member = self.holder.member();
        self.append(now, RecordKind::Join, ControlBody::Join(member), out);
    }

    /// Returns the span over which the joins of all nodes are spread. Without it a fleet that
    /// starts at once would append faster than the log takes, and records of operators would wait
    /// behind joins. A node that hears a controller before its turn needs no join.
    fn join_spread(&self) -> Duration {
        JOIN_SPREAD.max(JOIN_SPACE * self.expected_servers().unwrap_or_default())
    }

    /// Returns how many backend servers the document names, once it is known.
    pub(super) fn expected_servers(&self) -> Option<u32> {
        let document = &self.intent.as_ref()?.document;
        Some(
            document
                .services
                .iter()
                .map(|service| service.servers)
                .sum(),
        )
    }

    /// Returns the newest term that this node knows, from the log or from its controller.
    pub(super) fn newest_term(&self) -> Option<Arc<TermState>> {
        let adopted = self.voter.term().cloned();
        let logged = self.log.term().cloned().map(Arc::new);
        let both = adopted.into_iter().chain(logged);
        both.max_by_key(|term| term.term())
    }

    /// Returns every node this one knows, each in its latest known life.
    pub(super) fn known_members(&self) -> Vec<Member> {
        let mut members: BTreeMap<NodeName, Member> = BTreeMap::new();
        let adopted = self.voter.term().into_iter();
        let claimed = adopted.flat_map(|term| &term.claim.members);
        let logged = self.log.term().into_iter();
        let logged = logged.flat_map(|term| &term.claim.members);
        let routed = self.routing.table().nodes.values().map(|node| &node.member);
        let joined = self.log.joins();
        let own = self.holder.member();
        for member in claimed
            .chain(logged)
            .chain(routed)
            .chain(joined)
            .chain([&own])
        {
            let known = members.get(&member.node);
            if known.is_none_or(|known| known.incarnation <= member.incarnation) {
                members.insert(member.node.clone(), member.clone());
            }
        }
        members.into_values().collect()
    }

    pub(super) fn jitter(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.rng.random::<f64>())
    }
}
