//! What the backend server says of itself in its responses.

use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::ServerIncarnation;
use quetzalrack_mesh::model::ServerNotice;
use quetzalrack_mesh::traffic::admission::ServerLimit;
use quetzalrack_platform::request::InvalidHeader;
use quetzalrack_platform::request::ResponseHeaders;

use super::Egress;
use crate::clock;

impl Egress {
    /// Records what the response to a request that was sent at `sent` says of the server.
    pub(super) fn record_notice(
        &self,
        incarnation: &ServerIncarnation,
        sent: Moment,
        headers: ResponseHeaders,
    ) {
        if let Some(cold) = headers.cold {
            let until = clock::now() + cold;
            self.queue
                .update(|admission| admission.cold_limiter().extend_cold(until));
        }
        let mut notices = self.notices.borrow_mut();
        match headers.limit {
            Ok(limit) => {
                if notices.record_limit(clock::now(), incarnation, sent, limit) {
                    log::info!(
                        event = "server_limit", server:% = incarnation, source = "response",
                        limit:% = notices.limit(); ""
                    );
                }
            }
            Err(error) => {
                notices.record_unreadable_limit(incarnation);
                self.log_invalid(incarnation, error);
            }
        }
        match headers.leaving {
            Ok(true) if notices.record_leaving(incarnation) => {
                log::info!(event = "server_leaving", server:% = incarnation, source = "response"; "");
            }
            Ok(_) => {}
            Err(error) => self.log_invalid(incarnation, error),
        }
    }

    /// Returns whether the server names a rate limit.
    pub(in crate::traffic) fn is_limited(&self) -> bool {
        matches!(self.notices.borrow().limit(), ServerLimit::PerSecond(_))
    }

    /// Records what another node knows of the server.
    pub(super) fn record_peer_notice(&self, told: &ServerNotice) {
        if let Some(server) = &self.board.view().server {
            let mut notices = self.notices.borrow_mut();
            notices.set_server(&server.incarnation, server.ran_before);
            if notices.record_peer(told) {
                log::info!(
                    event = "server_limit", server:% = told.incarnation, source = "peer",
                    limit:% = notices.limit(), leaving = told.leaving; ""
                );
            }
        }
    }

    /// Logs a header that can't be used, once until another one is found.
    fn log_invalid(&self, incarnation: &ServerIncarnation, error: InvalidHeader) {
        let mut logged = self.logged_invalid.borrow_mut();
        if logged.as_ref() != Some(&error) {
            log::warn!(event = "server_header_invalid", server:% = incarnation; "{error}");
            *logged = Some(error);
        }
    }
}
