//! Messages of other nodes.

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
    pub(super) fn take_message(
        &mut self,
        now: Moment,
        from: SocketAddr,
        message: PeerMessage,
        out: &mut Outbox,
    ) {
        match message {
            PeerMessage::ControllerAnnouncement(lead) => self.take_lead(now, *lead, out),
            PeerMessage::Heartbeat(heartbeat) => self.take_heartbeat(now, heartbeat, out),
            PeerMessage::Answer(answer) => self.take_answer(now, *answer, out),
            PeerMessage::Acknowledgement(acknowledgement) => {
                self.take_acknowledgement(&acknowledgement, out);
            }
            PeerMessage::ControllerQuery(inquiry) => self.take_inquiry(now, from, &inquiry, out),
            PeerMessage::ControllerStatus(notice) => self.take_notice(now, *notice, out),
            PeerMessage::Routing(delta) => self.take_routing(&delta, out),
            PeerMessage::Probe(probe) => {
                let node = self.config.member.node.clone();
                let probe_sent = probe.sent_at;
                let echo = Echo { node, probe_sent };
                out.send(probe.reply_to, PeerMessage::Echo(echo));
            }
            PeerMessage::Echo(echo) => {
                self.reach
                    .note_echo(now, echo.node, Moment(echo.probe_sent));
            }
            PeerMessage::Resign(ballot) => {
                if ballot == self.voter.adopted() {
                    self.voter.forget_controller();
                }
            }
        }
    }

    /// Follows a controller unless a higher one is known, and acknowledges it.
    fn take_lead(&mut self, now: Moment, lead: ControllerAnnouncement, out: &mut Outbox) {
        // A restarted voter has forgotten what it adopted, but the log still says which term was
        // established; acknowledging an older one could revive a controller that was replaced.
        if self
            .established_in_log()
            .is_some_and(|term| lead.ballot.term < term)
        {
            return;
        }
        let introduced = lead.term.is_some();
        self.follow(now, lead.ballot, lead.term, out);
        if lead.ballot != self.voter.adopted() {
            return;
        }
        self.voter.hear(now, lead.round);
        if introduced {
            self.holder.introduce(now);
        }
        if lead.request_heartbeat {
            self.holder.hurry(now);
        }
        self.acknowledge(now, lead.round, out);
    }

    fn take_answer(&mut self, now: Moment, answer: Answer, out: &mut Outbox) {
        // An older controller may still answer a heartbeat that it got before this node adopted
        // another; its renewal would outlast what this node has reported to the new one.
        if answer.ballot != self.voter.adopted() && self.config.rules.void_heartbeats {
            return;
        }
        self.voter.hear(now, answer.round);
        self.holder
            .take_answer(now, self.voter.times(), &answer, out);
        if let Some(news) = &answer.updates {
            self.told_intent = self
                .told_intent
                .max(news.intent_version.unwrap_or_default());
            if let Some(delta) = &news.routing {
                self.take_routing(delta, out);
            }
        }
        if self.is_voter() {
            self.acknowledge(now, answer.round, out);
        }
    }

    fn take_heartbeat(&mut self, now: Moment, heartbeat: Box<Heartbeat>, out: &mut Outbox) {
        let Some(ballot) = self.controller.as_ref().map(|known| known.ballot()) else {
            return;
        };
        if heartbeat.ballot > ballot {
            self.stand_down(StandDownReason::Superseded, out);
            return;
        }
        let (controller, context) = self.parts(now);
        let Some(controller) = controller else {
            return;
        };
        if heartbeat.ballot < ballot {
            controller.send_term(&context, &heartbeat.node, out);
            return;
        }
        controller.handle_heartbeat(&context, heartbeat, out);
    }

    fn take_acknowledgement(&mut self, message: &Acknowledgement, out: &mut Outbox) {
        let Some(controller) = &mut self.controller else {
            return;
        };
        if message.ballot == controller.ballot() {
            controller.acknowledge(&message.node, message.round);
        } else if message.ballot > controller.ballot() {
            self.stand_down(StandDownReason::Superseded, out);
        }
    }

    fn take_inquiry(
        &mut self,
        now: Moment,
        from: SocketAddr,
        inquiry: &ControllerQuery,
        out: &mut Outbox,
    ) {
        if self.voter.is_own(&inquiry.node) {
            return;
        }
        let heard = self.voter.last_heard();
        let silence = heard.map(|heard| now.since(heard));
        let stale = silence.is_none_or(|silence| silence > self.voter.times().lease());
        let Some(term) = self.voter.term().filter(|_| !stale) else {
            return;
        };
        let notice = ControllerStatus {
            rank: self.voter.adopted().rank,
            term: term.as_ref().clone(),
        };
        out.send(from, PeerMessage::ControllerStatus(Box::new(notice)));
    }

    /// Learns of a controller from another node. Adopting it on hearsay only raises what this node
    /// refuses, so it is as safe as hearing the controller itself.
    fn take_notice(&mut self, now: Moment, notice: ControllerStatus, out: &mut Outbox) {
        let ballot = notice.term.ballot(notice.rank);
        self.follow(now, ballot, Some(notice.term), out);
    }

    fn take_routing(&mut self, delta: &RoutingDelta, out: &mut Outbox) {
        if self.routing.apply(delta) {
            let table = self.routing.table().clone();
            out.push(OwnershipAction::PublishRouting(Arc::new(table)));
        }
    }

    /// Adopts a ballot if it is higher than the adopted one and its term is known.
    pub(super) fn follow(
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
        self.holder.follow(now);
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

    fn established_in_log(&self) -> Option<Term> {
        let state = self.log.term().filter(|state| state.established)?;
        Some(state.term())
    }

    /// Tells whether the adopted term counts this node's acknowledgements.
    pub(super) fn is_voter(&self) -> bool {
        let own = &self.config.member.node;
        let term = self.voter.term();
        term.is_some_and(|term| term.voter_sets().iter().flatten().any(|voter| voter == own))
    }

    /// Splits the node into its controller and what that reads.
    pub(super) fn parts(&mut self, now: Moment) -> (Option<&mut super::Controller>, Context<'_>) {
        let context = Context {
            now,
            own: &self.config.member,
            rules: self.config.rules,
            leaving: self.leaving.is_some(),
            intent: self.intent.as_deref(),
            log: &self.log,
            routing: self.routing.table(),
        };
        (self.controller.as_mut(), context)
    }
}
