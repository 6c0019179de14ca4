//! What was under way at the backend server when it ended.

use std::net::SocketAddr;
use std::rc::Rc;

use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::poison::RunId;
use quetzalrack_mesh::model::ServerIncarnation;

use super::Egress;
use super::end_sign::EndSign;
use crate::clock;
use crate::shared::ServerView;
use crate::traffic::job::Job;

/// How many contents a log line names.
const MAX_LOGGED_CONTENTS: usize = 8;

/// A request under way at the server; dropping it means that nobody waits for its response any more.
pub(super) struct RunGuard<'a> {
    egress: &'a Egress,
    id: RunId,
}

impl RunGuard<'_> {
    /// Records that the server responded.
    pub(super) fn answered(self) {
        self.egress.suspects.record_answer(self.id);
    }

    /// Records that the server certainly did not run the request.
    pub(super) fn not_run(self) {
        self.egress.suspects.record_not_run(self.id);
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.egress.suspects.record_cancelled(self.id);
    }
}

impl Egress {
    /// Records that a job is about to be sent to the server.
    pub(super) fn begin_run(&self, server: &ServerIncarnation, job: &Job) -> RunGuard<'_> {
        let id = self.suspects.begin(server, job.content, job.route.clone());
        RunGuard { egress: self, id }
    }

    /// Looks whether the server has ended after a response of it was lost, and records its end.
    pub(super) async fn check_server(
        &self,
        address: SocketAddr,
        server: &ServerIncarnation,
        noticed: Moment,
    ) {
        if let Some(sign) = self.client.look_for_end(address, noticed).await {
            self.record_end(server, sign);
            self.suspects.wait_told().await;
        }
    }

    /// Checks the server each time that a response of it did not come in time. The request that waited for it
    /// has been answered by then.
    pub(super) async fn check_after_timeouts(self: Rc<Self>) {
        loop {
            self.timed_out.notified().await;
            let server = self.board.view().server.clone();
            if let Some(ServerView {
                address,
                incarnation,
                ..
            }) = server
            {
                self.check_server(address, &incarnation, clock::now()).await;
            }
        }
    }

    /// Records the end of a server.
    pub(super) fn record_end(&self, server: &ServerIncarnation, sign: EndSign) {
        let ended = self.suspects.record_end(server);
        if ended.is_empty() {
            return;
        }
        self.metrics.server_ended();
        let named = ended.iter().take(MAX_LOGGED_CONTENTS);
        let under: Vec<String> = named.map(|request| request.content.to_string()).collect();
        log::warn!(
            event = "server_ended", server:% = server, life:% = server.life(), why = sign.name(), requests = ended.len(),
            under = under.join(" "); ""
        );
    }
}
