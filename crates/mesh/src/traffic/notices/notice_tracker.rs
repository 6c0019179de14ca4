//! What the node beside a backend server knows of it.

use quetzalrack_core::time::Moment;

use crate::model::RequestRate;
use crate::model::ServerIncarnation;
use crate::model::ServerNotice;
use crate::traffic::admission::ServerLimit;

/// Tracks what the current incarnation of the server says of itself.
#[derive(Clone, Debug, Default)]
pub struct NoticeTracker {
    incarnation: Option<ServerIncarnation>,
    limit: ServerLimit,
    /// When the response with the limit arrived; none if only other nodes have told it.
    heard_at: Option<Moment>,
    leaving: bool,
}

impl NoticeTracker {
    /// Sets the server's incarnation; nothing said of an earlier one holds for it. If it `ran_before` this
    /// process heard it, it may have named a limit to others.
    pub fn set_server(&mut self, incarnation: &ServerIncarnation, ran_before: bool) {
        if self.incarnation.as_ref() != Some(incarnation) {
            *self = Self {
                incarnation: Some(incarnation.clone()),
                limit: match ran_before {
                    true => ServerLimit::Unknown,
                    false => ServerLimit::Unlimited,
                },
                ..Self::default()
            };
        }
    }

    /// Records the limit in a response to a request that was sent at `sent`; returns whether the
    /// limit has changed.
    ///
    /// A lower limit holds at once. A higher one, or none, counts only if the request was sent after
    /// the present limit had arrived: the responses of several connections may be read in another order
    /// than the server wrote them.
    pub fn record_limit(
        &mut self,
        now: Moment,
        incarnation: &ServerIncarnation,
        sent: Moment,
        limit: Option<RequestRate>,
    ) -> bool {
        let named = limit.map_or(ServerLimit::Unlimited, ServerLimit::PerSecond);
        let is_later = self.heard_at.is_none_or(|heard_at| sent >= heard_at);
        let is_current = self.incarnation.as_ref() == Some(incarnation);
        if !is_current || !(is_later || named.is_lower(self.limit)) {
            return false;
        }
        self.heard_at = Some(now);
        std::mem::replace(&mut self.limit, named) != named
    }

    /// Records a response whose limit can't be read: the limit named before stays in force.
    pub fn record_unreadable_limit(&mut self, incarnation: &ServerIncarnation) {
        if self.incarnation.as_ref() == Some(incarnation) && self.limit == ServerLimit::Unknown {
            self.limit = ServerLimit::Unlimited;
        }
    }

    /// Records that an incarnation of the server is leaving, which it never takes back; returns whether
    /// that is new.
    pub fn record_leaving(&mut self, incarnation: &ServerIncarnation) -> bool {
        let is_current = self.incarnation.as_ref() == Some(incarnation);
        is_current && !std::mem::replace(&mut self.leaving, true)
    }

    /// Records what another node knows of the server; returns whether that is new. Its limit may be an
    /// old one, so it counts only until the server's own response arrives.
    pub fn record_peer(&mut self, notice: &ServerNotice) -> bool {
        if self.incarnation.as_ref() != Some(&notice.incarnation) {
            return false;
        }
        let mut changed = notice.leaving && self.record_leaving(&notice.incarnation);
        let told = notice.limit.map(ServerLimit::PerSecond);
        if let Some(told) = told.filter(|told| told.is_lower(self.limit))
            && self.heard_at.is_none()
        {
            self.limit = told;
            changed = true;
        }
        changed
    }

    /// Returns the server's limit.
    pub fn limit(&self) -> ServerLimit {
        self.limit
    }

    /// Returns the incarnation that is leaving, if it is.
    pub fn leaving(&self) -> Option<&ServerIncarnation> {
        self.incarnation.as_ref().filter(|_| self.leaving)
    }

    /// Returns what other nodes are told of the server.
    pub fn notice(&self) -> Option<ServerNotice> {
        let limit = match self.limit {
            ServerLimit::PerSecond(rate) => Some(rate),
            ServerLimit::Unknown | ServerLimit::Unlimited => None,
        };
        Some(ServerNotice {
            incarnation: self.incarnation.clone()?,
            limit,
            leaving: self.leaving,
        })
    }
}
