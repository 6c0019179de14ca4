//! Answers every path that is not a control call.

use std::sync::Arc;
use std::time::Duration;

use rocket::Data;
use rocket::Request;
use rocket::data::ToByteUnit;
use rocket::http::Status;
use rocket::response::Responder;
use rocket::route::Handler;
use rocket::route::Outcome;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use super::Admission;
use super::Answer;
use super::Arrival;
use super::BackendServer;
use crate::process::CutBody;

/// How long a caller whose answer is lost is kept waiting.
const SILENCE: Duration = Duration::from_secs(60);
/// The longest that a request without a deadline waits for a slot.
const LONGEST_WAIT: Duration = Duration::from_secs(30);
/// A path with this part ends the server.
const ENDING_MARK: &str = "ends-servers";
/// How long the server works on it before.
const END_DELAY: Duration = Duration::from_millis(15);
/// The exit code of a server that ended so.
const ENDED_CODE: i32 = 3;
/// The greatest request body, in gibibytes.
const MOST_BODY_GIB: u64 = 1;

/// Works on requests in the server's slots.
#[derive(Clone, Debug)]
pub struct WorkHandler {
    server: Arc<BackendServer>,
}

impl WorkHandler {
    /// Makes the handler of a server.
    pub fn new(server: Arc<BackendServer>) -> Self {
        Self { server }
    }

    async fn answer(&self, arrival: &Arrival, data: Data<'_>) -> Answer {
        let until = Instant::now() + arrival.deadline.unwrap_or(LONGEST_WAIT);
        self.thawed().await;
        let cost = self.server.connect(arrival.sender);
        if !cost.is_zero() {
            sleep(cost).await;
        }
        if self.server.check_fence(arrival).is_err() {
            return self.refuse(Status::Conflict, arrival);
        }
        // The body is read before the work begins, so that a caller which breaks off while
        // sending has run nothing.
        let body = data.open(MOST_BODY_GIB.gibibytes());
        if body.stream_to(rocket::tokio::io::sink()).await.is_err() {
            return self.refuse(Status::BadRequest, arrival);
        }
        match self.wait_for_slot(until).await {
            Some(slowness) => self.run(arrival, slowness).await,
            None => self.refuse(Status::ServiceUnavailable, arrival),
        }
    }

    async fn run(&self, arrival: &Arrival, slowness: u32) -> Answer {
        let (run, stop) = self.server.begin(arrival);
        if arrival.target.contains(ENDING_MARK) {
            sleep(END_DELAY).await;
            std::process::exit(ENDED_CODE);
        }
        let drawn = self.server.draw_time(slowness);
        let time = arrival.work.map_or(drawn, |work| work.max(drawn));
        let cancelled = tokio::select! {
            () = sleep(time) => false,
            () = stop.notified() => true,
        };
        self.server.end(run, cancelled);
        self.thawed().await;
        let plan = self.server.plan_answer(arrival.attempt);
        if plan.lost {
            sleep(SILENCE).await;
        }
        let head = self.describe(arrival, run);
        let size = arrival.bytes.unwrap_or(self.server.settings.body_bytes);
        let size = size.max(head.len() as u64);
        let cut = (plan.truncated || plan.lost).then_some(size / 2);
        Answer {
            status: Status::Ok,
            attempt: plan.attempt,
            not_run: false,
            server: self.server.settings.server.clone(),
            body: CutBody::new(head, size, cut),
        }
    }

    async fn wait_for_slot(&self, until: Instant) -> Option<u32> {
        let mut waited = false;
        loop {
            let changed = self.server.changed();
            match self.server.admit(waited) {
                Admission::Begun { slowness } => return Some(slowness),
                Admission::Shed => return None,
                Admission::Waits => waited = true,
            }
            tokio::select! {
                () = changed => {}
                () = sleep_until(until) => {
                    self.server.expire();
                    return None;
                }
            }
        }
    }

    async fn thawed(&self) {
        loop {
            let changed = self.server.changed();
            if !self.server.faults().frozen {
                return;
            }
            changed.await;
        }
    }

    fn refuse(&self, status: Status, arrival: &Arrival) -> Answer {
        Answer {
            status,
            attempt: arrival.attempt,
            not_run: true,
            server: self.server.settings.server.clone(),
            body: CutBody::new(Vec::new(), 0, None),
        }
    }

    fn describe(&self, arrival: &Arrival, run: usize) -> Vec<u8> {
        let described = serde_json::json!({
            "server": self.server.settings.server,
            "target": arrival.target,
            "request": arrival.request,
            "run": run,
        });
        format!("{described}\n").into_bytes()
    }
}

#[rocket::async_trait]
impl Handler for WorkHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let arrival = Arrival::of(request);
        let answer = self.answer(&arrival, data).await;
        match answer.respond_to(request) {
            Ok(response) => Outcome::Success(response),
            Err(status) => Outcome::Error(status),
        }
    }
}
