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

/// How often peers are asked for the controller.
const QUERY_PERIOD: Duration = Duration::from_millis(300);
/// How many peers are asked each time.
const QUERIED_NODES: usize = 3;
/// The shortest window over which the joins of a starting cluster are spread.
const MIN_JOIN_WINDOW: Duration = Duration::from_millis(300);
/// How much each backend server in the document adds to that window. The log accepts several
/// hundred appends a second, so a hundred joins a second leave room for other records.
const JOIN_WINDOW_PER_SERVER: Duration = Duration::from_millis(10);
/// How long a node without a controller waits before it appends another join.
const JOIN_PERIOD: Duration = Duration::from_millis(10_000);

/// Tracks the attempts of a node without a controller to find or become one.
#[derive(Debug, Default)]
pub(super) struct Search {
    pub(super) started_at: Option<Moment>,
    last_query: Option<Moment>,
    /// This node's position in the window over which joins are spread, from 0 to 1.
    join_fraction: Option<f64>,
    last_join: Option<Moment>,
    pub(super) claim_at: Option<Moment>,
    pub(super) claim_count: u32,
    pub(super) claim_won_at: Option<Moment>,
}

impl Search {
    /// Records that a claim won a term, whose controller needs time to send its first message.
    pub(super) fn record_won_claim(&mut self, now: Moment) {
        self.claim_won_at = Some(now);
        self.claim_at = None;
    }

    fn reset(&mut self) {
        let claim_won_at = self.claim_won_at;
        *self = Self {
            claim_won_at,
            ..Self::default()
        };
    }
}

impl Ownership {
    /// Searches for a controller while there is no live one: asks peers, joins through the log and
    /// finally claims the next term.
    pub(super) fn search_controller(&mut self, now: Moment, out: &mut Outbox) {
        if self.has_live_controller(now) {
            self.search.reset();
            self.appender.cancel(RecordKind::Join);
            if self.controller.is_none() {
                self.appender.cancel(RecordKind::Claim);
            }
            return;
        }
        self.search.started_at.get_or_insert(now);
        self.query_nodes(now, out);
        if self.log.is_current() && self.leaving_since.is_none() {
            self.append_join(now, out);
            self.try_claim_term(now, out);
        }
    }

    pub(super) fn has_live_controller(&self, now: Moment) -> bool {
        if self
            .controller
            .as_ref()
            .is_some_and(|known| known.is_established())
        {
            return true;
        }
        let last_received = self.voter.last_received();
        let silence = last_received.map(|received| now.since(received));
        silence.is_some_and(|silence| silence < self.voter.times().lease() / 2)
    }

    fn query_nodes(&mut self, now: Moment, out: &mut Outbox) {
        let due = self
            .search
            .last_query
            .is_none_or(|last| now.since(last) >= QUERY_PERIOD);
        if !due {
            return;
        }
        self.search.last_query = Some(now);
        let own = self.config.member.heartbeat;
        let mut known: Vec<SocketAddr> = self
            .known_members()
            .into_iter()
            .map(|member| member.heartbeat)
            .chain(self.config.peers.iter().copied())
            .filter(|address| *address != own)
            .collect();
        for _ in 0..QUERIED_NODES.min(known.len()) {
            let at = self.rng.random_range(0..known.len());
            let query = ControllerQuery {
                node: self.config.member.node.clone(),
                incarnation: self.config.member.incarnation,
            };
            out.send(known.swap_remove(at), PeerMessage::ControllerQuery(query));
        }
    }

    fn append_join(&mut self, now: Moment, out: &mut Outbox) {
        let drawn = self.rng.random::<f64>();
        let fraction = *self.search.join_fraction.get_or_insert(drawn);
        let since = self.search.started_at.unwrap_or(now);
        let due = match self.search.last_join {
            Some(last) => last + JOIN_PERIOD,
            None => since + self.join_window().mul_f64(fraction),
        };
        if due > now || self.appender.has_pending(RecordKind::Join) {
            return;
        }
        self.search.last_join = Some(now);
        let member = self.holder.member();
        self.append_record(now, RecordKind::Join, ControlBody::Join(member), out);
    }

    /// Returns the window over which the joins of all nodes are spread. Without it a cluster whose
    /// nodes start at once would append faster than the log accepts, and operators' records would
    /// wait behind joins. A node that finds a controller before its join is due needs none.
    fn join_window(&self) -> Duration {
        MIN_JOIN_WINDOW.max(JOIN_WINDOW_PER_SERVER * self.expected_servers().unwrap_or_default())
    }

    /// Returns the number of backend servers in the document, once it is known.
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

    /// Returns every known node in its latest known incarnation.
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

    pub(super) fn jitter(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.rng.random::<f64>())
    }
}
