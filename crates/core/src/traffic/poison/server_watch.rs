//! What is under way at a backend server, for the case that it ends.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ContentDigest;
use super::RunId;
use super::RunningRequest;
use super::ServerLife;
use crate::time::Moment;

/// How long a request that was cancelled or timed out may still be at work at a server that answers others.
const CANCELLED_TIME: Duration = Duration::from_secs(2);
/// The same at a server that answers nothing: its end may be noticed that late.
const MAX_CANCELLED_TIME: Duration = Duration::from_secs(30);
/// How many such requests are remembered.
const MAX_CANCELLED: usize = 256;

/// Tracks the requests that were written to one host's backend server and are not answered.
#[derive(Clone, Debug, Default)]
pub struct ServerWatch {
    running: BTreeMap<RunId, RunningRequest>,
    /// Requests without an answer for which nobody waits any more, and since when.
    cancelled: Vec<(Moment, RunningRequest)>,
    /// When the newest request was written that the server has answered.
    answered: Option<(ServerLife, Moment)>,
    last_run: u64,
}

impl ServerWatch {
    /// Records that a request is about to be written to the server.
    pub fn begin(&mut self, request: RunningRequest) -> RunId {
        self.last_run += 1;
        let run = RunId(self.last_run);
        self.running.insert(run, request);
        run
    }

    /// Removes a request that the server certainly did not run.
    pub fn not_run(&mut self, run: RunId) {
        self.running.remove(&run);
    }

    /// Removes a request that the server answered.
    pub fn answered(&mut self, run: RunId) -> Option<RunningRequest> {
        let request = self.running.remove(&run)?;
        let newest = self
            .answered
            .filter(|(server, _)| *server == request.server);
        let begun = newest.map_or(request.begun, |(_, begun)| begun.max(request.begun));
        self.answered = Some((request.server, begun));
        Some(request)
    }

    /// Records that nobody waits for the answer to a request any more.
    pub fn cancelled(&mut self, now: Moment, run: RunId) {
        let Some(request) = self.running.remove(&run) else {
            return;
        };
        self.drop_old(now);
        if !request.ended && self.cancelled.len() < MAX_CANCELLED {
            self.cancelled.push((now, request));
        }
    }

    /// Records the end of a server; returns what was under way there, each content once.
    pub fn end(&mut self, now: Moment, server: ServerLife) -> Vec<RunningRequest> {
        self.drop_old(now);
        let mut ended = Vec::new();
        let running = self.running.values_mut();
        for request in running.filter(|request| request.server == server && !request.ended) {
            request.ended = true;
            ended.push(request.clone());
        }
        let cancelled = self
            .cancelled
            .extract_if(.., |(_, request)| request.server == server);
        ended.extend(cancelled.map(|(_, request)| request));
        ended.sort_by_key(|request| request.content);
        ended.dedup_by_key(|request| request.content);
        ended
    }

    fn drop_old(&mut self, now: Moment) {
        let answered = self.answered;
        self.cancelled.retain(|(since, request)| {
            let responds =
                answered.is_some_and(|(server, at)| server == request.server && at >= *since);
            let limit = match responds {
                true => CANCELLED_TIME,
                false => MAX_CANCELLED_TIME,
            };
            now.since(*since) < limit
        });
    }

    /// Returns how many requests of a content are under way.
    pub fn copies(&self, content: &ContentDigest) -> usize {
        let contents = self.contents();
        contents.filter(|other| *other == content).count()
    }

    /// Returns the contents under way.
    pub fn contents(&self) -> impl Iterator<Item = &ContentDigest> {
        let running = self.running.values().filter(|request| !request.ended);
        running.map(|request| &request.content)
    }
}
