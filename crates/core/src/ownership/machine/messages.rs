//! Handling of messages from peers.

use std::net::SocketAddr;
use std::sync::Arc;

use super::Context;
use super::Outbox;
use super::Ownership;
use crate::explain::Happening;
use crate::explain::StandDownReason;
use crate::ids::Term;
use crate::ownership::Ballot;
use crate::ownership::OwnershipAction;
use crate::ownership::PeerMessage;
use crate::ownership::message::Acknowledgement;
use crate::ownership::message::Answer;
use crate::ownership::message::ControllerAnnouncement;
use crate::ownership::message::ControllerQuery;
use crate::ownership::message::ControllerStatus;
use crate::ownership::message::Echo;
use crate::ownership::message::Heartbeat;
use crate::ownership::message::RoutingDelta;
use crate::ownership::record::TermState;
use crate::time::Moment;

impl Ownership {
    pub(super) fn handle_message(
        &mut self,
        now: Moment,
        from: SocketAddr,
        message: PeerMessage,
        out: &mut Outbox,
    ) {
        match message {
            PeerMessage::ControllerAnnouncement(announcement) => {
                self.handle_controller_announcement(now, *announcement, out)
            }
            PeerMessage::Heartbeat(heartbeat) => self.handle_heartbeat(now, heartbeat, out),
            PeerMessage::Answer(answer) => self.handle_answer(now, *answer, out),
            PeerMessage::Acknowledgement(acknowledgement) => {
                self.handle_acknowledgement(&acknowledgement, out);
            }
            PeerMessage::ControllerQuery(query) => {
                self.handle_controller_query(now, from, &query, out)
            }
            PeerMessage::ControllerStatus(status) => {
                self.handle_controller_status(now, *status, out)
            }
            PeerMessage::Routing(delta) => self.apply_routing_delta(&delta, out),
            PeerMessage::Probe(probe) => {
                let node = self.config.member.node.clone();
                let probe_sent = probe.sent_at;
                let echo = Echo { node, probe_sent };
                out.send(probe.reply_to, PeerMessage::Echo(echo));
            }
            PeerMessage::Echo(echo) => {
                self.reachability
                    .record_echo(now, echo.node, Moment(echo.probe_sent));
            }
            PeerMessage::Resign(ballot) => {
                if ballot == self.voter.adopted() {
                    self.voter.record_resignation();
                }
            }
        }
    }

    /// Adopts a controller's ballot unless a higher one is known, and acknowledges its round.
    fn handle_controller_announcement(
        &mut self,
        now: Moment,
        announcement: ControllerAnnouncement,
        out: &mut Outbox,
    ) {
        // A restarted voter has lost the ballot it adopted, but the log still tells which term was
        // established. Acknowledging an older term could bring back a controller that was replaced.
        if self
            .established_term()
            .is_some_and(|term| announcement.ballot.term < term)
        {
            return;
        }
        let carries_term = announcement.term.is_some();
        self.adopt_ballot(now, announcement.ballot, announcement.term, out);
        if announcement.ballot != self.voter.adopted() {
            return;
        }
        self.voter.record_round(now, announcement.round);
        if carries_term {
            self.holder.schedule_report(now);
        }
        if announcement.request_heartbeat {
            self.holder.expedite_heartbeat(now);
        }
        self.acknowledge(now, announcement.round, out);
    }

    fn handle_answer(&mut self, now: Moment, answer: Answer, out: &mut Outbox) {
        // An older controller may still answer a heartbeat that it received before this node
        // adopted another ballot. Its renewal would last longer than the lease reported to the new
        // one.
        if answer.ballot != self.voter.adopted() && self.config.rules.void_heartbeats {
            return;
        }
        self.voter.record_round(now, answer.round);
        self.holder
            .handle_answer(now, self.voter.times(), &answer, out);
        if let Some(updates) = &answer.updates {
            self.announced_intent = self
                .announced_intent
                .max(updates.intent_version.unwrap_or_default());
            if let Some(delta) = &updates.routing {
                self.apply_routing_delta(delta, out);
            }
        }
        if self.is_voter() {
            self.acknowledge(now, answer.round, out);
        }
    }

    fn handle_heartbeat(&mut self, now: Moment, heartbeat: Box<Heartbeat>, out: &mut Outbox) {
        let Some(ballot) = self.controller.as_ref().map(|known| known.ballot()) else {
            return;
        };
        if heartbeat.ballot > ballot {
            self.stand_down(StandDownReason::Superseded, out);
            return;
        }
        let (controller, context) = self.controller_and_context(now);
        let Some(controller) = controller else {
            return;
        };
        if heartbeat.ballot < ballot {
            controller.send_term(&context, &heartbeat.node, out);
            return;
        }
        controller.handle_heartbeat(&context, heartbeat, out);
    }

    fn handle_acknowledgement(&mut self, message: &Acknowledgement, out: &mut Outbox) {
        let Some(controller) = &mut self.controller else {
            return;
        };
        if message.ballot == controller.ballot() {
            controller.acknowledge(&message.node, message.round);
        } else if message.ballot > controller.ballot() {
            self.stand_down(StandDownReason::Superseded, out);
        }
    }

    fn handle_controller_query(
        &mut self,
        now: Moment,
        from: SocketAddr,
        query: &ControllerQuery,
        out: &mut Outbox,
    ) {
        if self.voter.is_own_name(&query.node) {
            return;
        }
        let last_received = self.voter.last_received();
        let silence = last_received.map(|received| now.since(received));
        let stale = silence.is_none_or(|silence| silence > self.voter.times().lease());
        let Some(term) = self.voter.term().filter(|_| !stale) else {
            return;
        };
        let status = ControllerStatus {
            rank: self.voter.adopted().rank,
            term: term.as_ref().clone(),
        };
        out.send(from, PeerMessage::ControllerStatus(Box::new(status)));
    }

    /// Adopts a controller that a peer follows. An adopted ballot only makes this node refuse lower
    /// ones, so this is as safe as adopting it from the controller itself.
    fn handle_controller_status(
        &mut self,
        now: Moment,
        status: ControllerStatus,
        out: &mut Outbox,
    ) {
        let ballot = status.term.ballot(status.rank);
        self.adopt_ballot(now, ballot, Some(status.term), out);
    }

    fn apply_routing_delta(&mut self, delta: &RoutingDelta, out: &mut Outbox) {
        if self.routing.apply(delta) {
            let table = self.routing.table().clone();
            out.push(OwnershipAction::PublishRouting(Arc::new(table)));
        }
    }

    /// Adopts a ballot if it is higher than the adopted one and its term is known.
    pub(super) fn adopt_ballot(
        &mut self,
        now: Moment,
        ballot: Ballot,
        term: Option<TermState>,
        out: &mut Outbox,
    ) {
        if ballot <= self.voter.adopted() {
            return;
        }
        let Some(term) = term.map(Arc::new).or_else(|| self.find_term(ballot.term)) else {
            return;
        };
        if term.term() != ballot.term || !self.voter.adopt(now, ballot, term) {
            return;
        }
        self.holder.handle_new_controller(now);
        if let Some(controller) = self.voter.controller() {
            out.explain(Happening::ControllerAdopted {
                term: ballot.term,
                rank: ballot.rank,
                controller: controller.node.clone(),
            });
        }
        let own = self.controller.as_ref().map(|known| known.ballot());
        if own.is_some_and(|own| own < ballot) {
            self.stand_down(StandDownReason::Superseded, out);
        }
    }

    fn acknowledge(&mut self, now: Moment, round: u64, out: &mut Outbox) {
        if self.voter.abstains(now) {
            return;
        }
        let Some(controller) = self.voter.controller() else {
            return;
        };
        let acknowledgement = Acknowledgement {
            node: self.config.member.node.clone(),
            incarnation: self.config.member.incarnation,
            ballot: self.voter.adopted(),
            round,
        };
        let to = controller.heartbeat;
        out.send(to, PeerMessage::Acknowledgement(acknowledgement));
    }

    fn find_term(&self, term: Term) -> Option<Arc<TermState>> {
        let adopted = self.voter.term().filter(|known| known.term() == term);
        let logged = self.log.term().filter(|known| known.term() == term);
        adopted.cloned().or_else(|| logged.cloned().map(Arc::new))
    }

    fn established_term(&self) -> Option<Term> {
        let state = self.log.term().filter(|state| state.established)?;
        Some(state.term())
    }

    /// Tells whether this node is in a voter set of the adopted term.
    pub(super) fn is_voter(&self) -> bool {
        let own = &self.config.member.node;
        let term = self.voter.term();
        term.is_some_and(|term| term.voter_sets().iter().flatten().any(|voter| voter == own))
    }

    /// Returns the controller, if this node is one, with the state that it reads.
    pub(super) fn controller_and_context(
        &mut self,
        now: Moment,
    ) -> (Option<&mut super::Controller>, Context<'_>) {
        let context = Context {
            now,
            own: &self.config.member,
            rules: self.config.rules,
            leaving: self.leaving_since.is_some(),
            intent: self.intent.as_deref(),
            log: &self.log,
            routing: self.routing.table(),
        };
        (self.controller.as_mut(), context)
    }
}
