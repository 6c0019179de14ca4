//! Claims of a term by a node without a controller.

use std::time::Duration;

use super::Divisions;
use super::MAX_VOTERS;
use super::Outbox;
use super::Ownership;
use super::RecordKind;
use super::build_claim;
use crate::cluster::Member;
use crate::explain::Happening;
use crate::ownership::record::Claim;
use crate::ownership::record::ControlBody;
use crate::time::Moment;

/// How long a node waits for other nodes to join before it claims a term.
const CLAIM_DELAY: Duration = Duration::from_millis(900);
/// The longest random addition to the delay before a claim, so that few nodes claim at once.
const MAX_CLAIM_JITTER: Duration = Duration::from_millis(500);
/// How many nodes should be known before the first term is claimed while the document is unknown.
const MIN_KNOWN_NODES: usize = 3;
/// How long a node waits for enough other nodes before it claims the first term with those it
/// knows.
const FIRST_CLAIM_TIMEOUT: Duration = Duration::from_millis(3_000);
/// How long a node waits for a checkpoint of the controller if records at the beginning of the log
/// are missing and the rest contains no term.
const CHECKPOINT_TIMEOUT: Duration = Duration::from_millis(5_000);
/// The longest delay between two claims of one node.
const MAX_CLAIM_DELAY: Duration = Duration::from_millis(16_000);

impl Ownership {
    /// Appends a claim to the control stream.
    pub(super) fn append_claim(&mut self, now: Moment, claim: Claim, out: &mut Outbox) {
        if let Some(controller) = claim.controllers.first() {
            out.explain(Happening::TermClaimed {
                term: claim.term,
                controller: controller.node.clone(),
            });
        }
        self.append_record(now, RecordKind::Claim, ControlBody::Claim(claim), out);
    }

    /// Claims the next term if a claim is due and enough nodes are known or reachable.
    pub(super) fn try_claim_term(&mut self, now: Moment, out: &mut Outbox) {
        if self.search.claim_at.is_none() {
            self.search.claim_at = Some(self.next_claim_time(now));
        }
        let due = self.search.claim_at.is_some_and(|due| due <= now);
        if !due || self.appender.has_pending(RecordKind::Claim) {
            return;
        }
        let newest = self.newest_term();
        match &newest {
            Some(term) if !self.reaches_majorities(now, term, out) => return,
            None if !self.knows_enough_nodes(now) => return,
            _ => {}
        }
        self.search.claim_count += 1;
        self.search.claim_at = Some(self.next_claim_time(now));
        let members = self.known_members();
        let candidates = self.claim_candidates(&members);
        let (_, context) = self.controller_and_context(now);
        let mut divisions = Divisions::collect(&context, newest.as_deref());
        divisions.add_services(&context);
        let claim = build_claim(&context, candidates, members, &divisions);
        self.append_claim(now, claim, out);
    }

    /// Tells whether enough nodes are known to claim the first term.
    ///
    /// The voters of the first term are the nodes that its claim names. If the only one is lost
    /// before the next term, no later term can ever get its vote.
    fn knows_enough_nodes(&self, now: Moment) -> bool {
        let waited = self.search.started_at.map(|since| now.since(since));
        if waited.is_some_and(|waited| waited >= FIRST_CLAIM_TIMEOUT) {
            return true;
        }
        let servers = self.expected_servers();
        let wanted = match servers {
            Some(servers) => (servers as usize / 2 + 1).min(MAX_VOTERS),
            None => MIN_KNOWN_NODES,
        };
        self.known_members().len() >= wanted
    }

    /// Returns when to claim next: after the takeover delays of all deputies, with exponential
    /// backoff.
    fn next_claim_time(&mut self, now: Moment) -> Moment {
        let controllers = self
            .voter
            .term()
            .map_or(0, |term| term.claim.controllers.len());
        let deputies = u32::try_from(controllers).unwrap_or(0);
        let base = if self.log.term().is_none() && self.log.has_gap() {
            CHECKPOINT_TIMEOUT
        } else if self.voter.term().is_some() {
            self.takeover_delay(deputies)
        } else {
            CLAIM_DELAY
        };
        let delay =
            (base * 2u32.pow(self.search.claim_count.min(4))).min(MAX_CLAIM_DELAY.max(base));
        let start = self
            .search
            .started_at
            .max(self.search.claim_won_at)
            .unwrap_or(now);
        let start = if self.search.claim_count > 0 {
            now
        } else {
            start
        };
        let jitter = self.jitter(MAX_CLAIM_JITTER);
        start + delay + jitter
    }

    /// Returns the candidates for voters and controllers of a claim: the voters of the previous
    /// term, the nodes in the last routing table and those that joined since.
    ///
    /// A claimant that is cut off may know few nodes. If it named only itself, every later term
    /// would need its vote, and no controller could be established while it stays cut off. The
    /// voters of the previous term are needed in any case, so naming them costs nothing.
    fn claim_candidates(&self, members: &[Member]) -> Vec<Member> {
        let own = &self.config.member.node;
        let earlier = self.newest_term();
        let earlier = earlier.map_or_else(Vec::new, |term| term.voter_names());
        let recent = |member: &&Member| {
            let routed = self.routing.table().nodes.contains_key(&member.node);
            let joined = self.log.joins().any(|join| join.node == member.node);
            let voted = earlier.contains(&member.node);
            routed || joined || voted || member.node == *own
        };
        let in_service = |member: &&Member| {
            self.intent
                .as_ref()
                .is_none_or(|intent| !intent.zones_out.contains(&member.zone))
        };
        let recent = members.iter().filter(recent).filter(in_service);
        recent.cloned().collect()
    }
}
