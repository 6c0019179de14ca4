//! Which connections lead to the incarnation that has a token.

use quetzalrack_core::time::Moment;

use crate::model::HeldRange;
use crate::model::ServerIncarnation;

/// The tokens that calls may have carried to an incarnation of the server, whether they are still held or not.
///
/// A connection leads to whoever listened when it was opened, and a server listens from its start to its end. So
/// one that was opened before a token was sent leads to the incarnation that got it, or to none that runs. A
/// heartbeat shows less: it may have been sent long before it arrived.
#[derive(Clone, Debug, Default)]
pub(super) struct CalledTokens {
    incarnation: Option<ServerIncarnation>,
    tokens: Vec<CalledToken>,
}

#[derive(Clone, Copy, Debug)]
struct CalledToken {
    held: HeldRange,
    /// The incarnation that got the token, if any did, ran when it was first sent, and until this.
    ran_until: Moment,
}

impl CalledTokens {
    /// Forgets the tokens of earlier incarnations: a later one is granted higher ones.
    pub(super) fn set_incarnation(&mut self, incarnation: &ServerIncarnation) {
        if self.incarnation.as_ref() != Some(incarnation) {
            self.incarnation = Some(incarnation.clone());
            self.tokens.clear();
        }
    }

    /// Returns before when a connection must have been opened to carry a token again; none if it was never sent.
    pub(super) fn opened_before(&self, held: &HeldRange) -> Option<Moment> {
        let fitting = self.tokens.iter().filter(|token| token.reaches(held));
        fitting.map(|token| token.ran_until).min()
    }

    /// Records that a grant was sent, not before `asked_at`.
    pub(super) fn record_sent(
        &mut self,
        incarnation: &ServerIncarnation,
        held: HeldRange,
        asked_at: Moment,
    ) {
        if self.incarnation.as_ref() != Some(incarnation) {
            return;
        }
        if self.tokens.iter().any(|token| token.held == held) {
            return;
        }
        let ran_until = self.opened_before(&held).unwrap_or(asked_at);
        let tokens = std::mem::take(&mut self.tokens);
        self.tokens = tokens
            .into_iter()
            .flat_map(|token| token.without_lower(&held))
            .collect();
        self.tokens.push(CalledToken { held, ran_until });
    }

    /// Records that a grant that was sent at a moment has got an answer.
    pub(super) fn record_answered(
        &mut self,
        incarnation: &ServerIncarnation,
        held: &HeldRange,
        sent: Moment,
    ) {
        if self.incarnation.as_ref() != Some(incarnation) {
            return;
        }
        for token in &mut self.tokens {
            if token.reaches(held) {
                token.ran_until = token.ran_until.max(sent);
            }
        }
    }
}

impl CalledToken {
    /// Tells whether a grant would carry this token, or a lower one, for keys that have it.
    fn reaches(&self, held: &HeldRange) -> bool {
        self.held.fence >= held.fence && self.held.keys.common(&held.keys).is_some()
    }

    /// Returns what is left of a lower token once the keys have a higher one.
    fn without_lower(self, higher: &HeldRange) -> Vec<Self> {
        if self.held.fence >= higher.fence {
            return vec![self];
        }
        let left = self.held.keys.without(&higher.keys).into_iter().flatten();
        left.map(|keys| Self {
            held: HeldRange { keys, ..self.held },
            ..self
        })
        .collect()
    }
}
