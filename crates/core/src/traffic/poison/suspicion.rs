//! How strongly a content is suspected.

/// How many servers may end under a content.
const MAX_ENDS: usize = 3;

/// What may be done with requests of a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// They are sent like any other.
    None,
    /// They are sent to a few servers, one at a time to each.
    Suspected {
        /// How many servers may work on them at once: together with those that have ended, three.
        servers: usize,
    },
    /// They are not sent any more.
    Poison {
        /// Whether the nodes beside the servers have seen the ends. If not, the servers may turn out to be
        /// alive.
        certain: bool,
    },
}

impl Suspicion {
    /// Judges by the ends that count: how many servers ended under a content that had not been answered
    /// before, and under one that had.
    ///
    /// Of popular content many requests are under way at many servers, so that servers which end together for
    /// another reason all end under it. Two such ends have it tried at one server, one request at a time, but all
    /// together count as one towards its conviction: two more have to follow in that state.
    pub(super) fn of(unanswered: usize, answered: usize, certain: bool) -> Self {
        let ends = match (unanswered, answered) {
            (0, 0 | 1) => 0,
            (0, _) => MAX_ENDS - 1,
            (unanswered, answered) => unanswered + answered.min(1),
        };
        match ends {
            0 => Self::None,
            ends if ends < MAX_ENDS => Self::Suspected {
                servers: MAX_ENDS - ends,
            },
            _ => Self::Poison { certain },
        }
    }

    /// One server may work on one request: the next end convicts.
    pub const LAST_TRIAL: Self = Self::Suspected { servers: 1 };

    /// Returns whether the next end convicts.
    pub fn is_last_trial(self) -> bool {
        self == Self::LAST_TRIAL
    }

    /// Returns whether the content is tried at a few servers.
    pub fn is_suspected(self) -> bool {
        matches!(self, Self::Suspected { .. })
    }

    /// Returns whether requests of the content are not to be sent.
    pub fn is_poison(self) -> bool {
        matches!(self, Self::Poison { .. })
    }
}
