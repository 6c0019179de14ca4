//! How a node without a controller claims a term.

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

/// How long a node waits for other joins before it claims a term.
const CLAIM_WAIT: Duration = Duration::from_millis(900);
/// The longest addition to a wait before a claim, so that few nodes claim at once.
const CLAIM_JITTER: Duration = Duration::from_millis(500);
/// How many nodes should be known before a cell is founded whose document is not known yet.
const FEWEST_FOUNDERS: usize = 3;
/// How long a node waits for enough others before it founds a cell with those there are.
const FOUNDING_WAIT: Duration = Duration::from_millis(3_000);
/// How long a node that found no term in a log with a gap waits for a checkpoint of the controller.
const GAP_WAIT: Duration = Duration::from_millis(5_000);
/// The longest wait between two claims of one node.
const LONGEST_PAUSE: Duration = Duration::from_millis(16_000);

impl Ownership {
    /// Appends a claim.
    pub(super) fn claim(&mut self, now: Moment, claim: Claim, out: &mut Outbox) {
        if let Some(controller) = claim.controllers.first() {
            out.explain(Happening::TermClaimed {
                term: claim.term,
                controller: controller.node.clone(),
            });
        }
        self.append(now, RecordKind::Claim, ControlBody::Claim(claim), out);
    }

    pub(super) fn claim_term(&mut self, now: Moment, out: &mut Outbox) {
        if self.search.claim_at.is_none() {
            self.search.claim_at = Some(self.next_claim(now));
        }
        let due = self.search.claim_at.is_some_and(|due| due <= now);
        if !due || self.appender.has(RecordKind::Claim) {
            return;
        }
        let known = self.newest_term();
        match &known {
            Some(term) if !self.hears_voters(now, term, out) => return,
            None if !self.knows_enough(now) => return,
            _ => {}
        }
        self.search.claims += 1;
        self.search.claim_at = Some(self.next_claim(now));
        let members = self.known_members();
        let candidates = self.claim_candidates(&members);
        let (_, context) = self.parts(now);
        let mut divisions = Divisions::collect(&context, known.as_deref());
        divisions.add_services(&context);
        let claim = build_claim(&context, candidates, members, &divisions);
        self.claim(now, claim, out);
    }

    /// Tells whether enough nodes are known to found a cell.
    ///
    /// The voters of the first term are those that its claim knows. If that is one node, which then
    /// dies before the next term, no later term can ever get its vote.
    fn knows_enough(&self, now: Moment) -> bool {
        let waited = self.search.since.map(|since| now.since(since));
        if waited.is_some_and(|waited| waited >= FOUNDING_WAIT) {
            return true;
        }
        let servers = self.expected_servers();
        let wanted = match servers {
            Some(servers) => (servers as usize / 2 + 1).min(MAX_VOTERS),
            None => FEWEST_FOUNDERS,
        };
        self.known_members().len() >= wanted
    }

    /// Chooses when to claim: after every deputy had its turn, and ever more seldom.
    fn next_claim(&mut self, now: Moment) -> Moment {
        let line = self
            .voter
            .term()
            .map_or(0, |term| term.claim.controllers.len());
        let deputies = u32::try_from(line).unwrap_or(0);
        let base = if self.log.term().is_none() && self.log.has_gap() {
            GAP_WAIT
        } else if self.voter.term().is_some() {
            self.patience(deputies)
        } else {
            CLAIM_WAIT
        };
        let pause = (base * 2u32.pow(self.search.claims.min(4))).min(LONGEST_PAUSE.max(base));
        let start = self.search.since.max(self.search.claim_seen).unwrap_or(now);
        let start = if self.search.claims > 0 { now } else { start };
        let jitter = self.jitter(CLAIM_JITTER);
        start + pause + jitter
    }

    /// Returns the nodes that a claim names as voters: those of the term before, those the last
    /// controller routed to, and those that joined since.
    ///
    /// A claimant that is cut off may know hardly anyone. If it named itself alone, every later
    /// term would need its vote, and the cell would stand still while it stays cut off. The voters
    /// of the term before are needed in any case, so naming them costs nothing.
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
