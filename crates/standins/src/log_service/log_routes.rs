//! The log service's calls.

use std::sync::Arc;
use std::time::Duration;

use rocket::Build;
use rocket::Rocket;
use rocket::State;
use rocket::http::ContentType;
use rocket::http::Status;
use rocket::response::Responder;
use rocket::serde::json::Json;
use serde_json::value::RawValue;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use super::AppendRefusal;
use super::LogFaults;
use super::LogSettings;
use super::LogState;
use super::LogTruth;
use super::LostAnswer;
use super::ReadResult;
use crate::process::BrokenBody;
use crate::process::web_server;

/// The most records of one answer.
const MOST_RECORDS: usize = 1_000;
/// The longest a read waits for a first record.
const LONGEST_WAIT: Duration = Duration::from_secs(60);
/// How long a caller whose answer is lost silently is kept waiting.
const SILENCE: Duration = Duration::from_secs(60);
const WORKERS: usize = 2;

type LogText = (Status, (ContentType, String));

#[derive(Responder)]
enum LogAnswer {
    Said(Box<LogText>),
    Broken(BrokenBody),
}

/// Builds the log service.
pub fn log_server(settings: LogSettings) -> Rocket<Build> {
    let server = web_server(settings.address, settings.port, WORKERS);
    server.manage(Arc::new(LogState::new(settings))).mount(
        "/",
        rocket::routes![append, read, get_faults, put_faults, truth],
    )
}

#[rocket::post("/streams/<stream>/records", data = "<body>")]
async fn append(stream: &str, body: String, log: &State<Arc<LogState>>) -> LogAnswer {
    delay(log).await;
    let outcome = RawValue::from_string(body)
        .map_err(|_| AppendRefusal::Malformed)
        .and_then(|data| log.append(stream, data));
    match outcome {
        Ok((_, true)) => lose(log).await,
        Ok((offset, false)) => said(Status::Ok, format!("{{\"offset\":{offset}}}")),
        Err(AppendRefusal::OverRate) => said(Status::TooManyRequests, String::from("{}")),
        Err(AppendRefusal::Down) => unavailable(),
        Err(AppendRefusal::Malformed) => said(Status::BadRequest, String::from("{}")),
    }
}

#[rocket::get("/streams/<stream>/records?<from>&<limit>&<wait_ms>")]
async fn read(
    stream: &str,
    from: Option<u64>,
    limit: Option<usize>,
    wait_ms: Option<u64>,
    log: &State<Arc<LogState>>,
) -> LogAnswer {
    let wait = Duration::from_millis(wait_ms.unwrap_or(0)).min(LONGEST_WAIT);
    let until = Instant::now() + wait;
    let limit = limit.unwrap_or(MOST_RECORDS).clamp(1, MOST_RECORDS);
    delay(log).await;
    loop {
        let grown = log.grown();
        if log.faults().down {
            return unavailable();
        }
        let result = log.read(stream, from.unwrap_or(0), limit);
        let is_empty = matches!(&result, ReadResult::Entries { entries, .. } if entries.is_empty());
        if !is_empty || Instant::now() >= until {
            return answer_read(&result);
        }
        // Whether records came or the time ran out, the loop reads once more.
        timeout_at(until, grown).await.ok();
    }
}

#[rocket::get("/faults")]
fn get_faults(log: &State<Arc<LogState>>) -> Json<LogFaults> {
    Json(log.faults())
}

#[rocket::put("/faults", data = "<faults>")]
fn put_faults(faults: Json<LogFaults>, log: &State<Arc<LogState>>) -> Status {
    log.set_faults(faults.into_inner());
    Status::NoContent
}

#[rocket::get("/truth")]
fn truth(log: &State<Arc<LogState>>) -> Json<LogTruth> {
    Json(log.truth())
}

fn answer_read(result: &ReadResult) -> LogAnswer {
    let status = match result {
        ReadResult::Entries { .. } => Status::Ok,
        ReadResult::Expired { .. } => Status::Gone,
    };
    match serde_json::to_string(result) {
        Ok(text) => said(status, text),
        Err(_) => said(Status::InternalServerError, String::from("{}")),
    }
}

async fn delay(log: &LogState) {
    let delay = log.faults().delay_ms.as_duration();
    if !delay.is_zero() {
        sleep(delay).await;
    }
}

async fn lose(log: &LogState) -> LogAnswer {
    if log.faults().lost_answer == LostAnswer::Silent {
        sleep(SILENCE).await;
    }
    LogAnswer::Broken(BrokenBody)
}

fn unavailable() -> LogAnswer {
    said(Status::ServiceUnavailable, String::from("{}"))
}

fn said(status: Status, text: String) -> LogAnswer {
    LogAnswer::Said(Box::new((status, (ContentType::JSON, text))))
}
