//! Handling of events other than messages.

use super::Outbox;
use super::Ownership;
use crate::explain::Happening;
use crate::ids::Term;
use crate::ownership::OwnershipEvent;
use crate::time::Moment;

impl Ownership {
    pub(super) fn handle_event(&mut self, now: Moment, event: OwnershipEvent, out: &mut Outbox) {
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
                let before = self.logged_term();
                self.log.replay_entries(&entries, at_end);
                self.report_new_term(now, before, out);
            }
            OwnershipEvent::LogExpired(oldest) => self.log.skip_to(oldest),
            OwnershipEvent::LogUnavailable => self.log.mark_unavailable(),
            OwnershipEvent::AppendFinished { id, outcome } => {
                self.appender.record_outcome(now, id, outcome);
            }
            OwnershipEvent::MessageReceived { from, message } => {
                self.handle_message(now, from, message, out);
            }
            OwnershipEvent::TrafficMeasured(stats) => self.holder.record_load(stats),
            OwnershipEvent::ShutdownRequested => self.start_leaving(now),
            event => self.handle_server_event(now, event, out),
        }
    }

    fn handle_server_event(&mut self, now: Moment, event: OwnershipEvent, out: &mut Outbox) {
        match event {
            OwnershipEvent::ServerAnnounced(announcement) => {
                self.holder.handle_announcement(now, announcement, out);
            }
            OwnershipEvent::ServerLost => self.holder.handle_server_lost(now, out),
            OwnershipEvent::GrantAnswered {
                slice,
                fence,
                outcome,
            } => self
                .holder
                .handle_grant_outcome(now, &slice, fence, outcome, out),
            OwnershipEvent::SliceDrained { slice, fence } => {
                self.holder.finish_drain(now, &slice, fence, out);
            }
            _ => {}
        }
    }

    fn logged_term(&self) -> Option<Term> {
        self.log.term().map(|state| state.term())
    }

    fn report_new_term(&mut self, now: Moment, before: Option<Term>, out: &mut Outbox) {
        let Some(state) = self.log.term() else {
            return;
        };
        if before == Some(state.term()) {
            return;
        }
        self.search.record_won_claim(now);
        if let Some(controller) = state.claim.controllers.first() {
            out.explain(Happening::TermWon {
                term: state.term(),
                controller: controller.node.clone(),
            });
        }
    }
}
