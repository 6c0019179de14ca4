//! Events other than messages.

use super::Outbox;
use super::Ownership;
use crate::explain::Happening;
use crate::ids::Term;
use crate::ownership::OwnershipEvent;
use crate::time::Moment;

impl Ownership {
    pub(super) fn take_event(&mut self, now: Moment, event: OwnershipEvent, out: &mut Outbox) {
        match event {
            OwnershipEvent::Tick => {}
            OwnershipEvent::IntentChanged(intent) => {
                let newer = self
                    .intent
                    .as_ref()
                    .is_none_or(|known| known.version < intent.version);
                if newer {
                    self.intent = Some(intent);
                }
            }
            OwnershipEvent::LogRead { entries, at_end } => {
                let before = self.known_term();
                self.log.read(&entries, at_end);
                self.note_term(now, before, out);
            }
            OwnershipEvent::LogExpired(oldest) => self.log.skip_to(oldest),
            OwnershipEvent::LogUnavailable => self.log.lose(),
            OwnershipEvent::AppendFinished { id, outcome } => {
                self.appender.finish(now, id, outcome);
            }
            OwnershipEvent::MessageReceived { from, message } => {
                self.take_message(now, from, message, out);
            }
            OwnershipEvent::TrafficMeasured(measure) => self.holder.measure(measure),
            OwnershipEvent::ShutdownRequested => self.leave(now),
            event => self.take_server_event(now, event, out),
        }
    }

    fn take_server_event(&mut self, now: Moment, event: OwnershipEvent, out: &mut Outbox) {
        match event {
            OwnershipEvent::ServerAnnounced(announcement) => {
                self.holder.announce(now, announcement, out);
            }
            OwnershipEvent::ServerLost => self.holder.lose_server(now, out),
            OwnershipEvent::GrantAnswered {
                slice,
                fence,
                outcome,
            } => self.holder.finish_grant(now, &slice, fence, outcome, out),
            OwnershipEvent::SliceDrained { slice, fence } => {
                self.holder.finish_drain(now, &slice, fence, out);
            }
            _ => {}
        }
    }

    fn known_term(&self) -> Option<Term> {
        self.log.term().map(|state| state.term())
    }

    fn note_term(&mut self, now: Moment, before: Option<Term>, out: &mut Outbox) {
        let Some(state) = self.log.term() else {
            return;
        };
        if before == Some(state.term()) {
            return;
        }
        self.search.note_claim(now);
        if let Some(controller) = state.claim.controllers.first() {
            out.explain(Happening::TermWon {
                term: state.term(),
                controller: controller.node.clone(),
            });
        }
    }
}
