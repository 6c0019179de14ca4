//! Sending one attempt to the backend server.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use quetzalrack_core::traffic::admission::AttemptOutcome;
use quetzalrack_core::traffic::refusal::RefusalCode;
use tokio::sync::oneshot;

use super::Egress;
use super::served::HeldSlot;
use super::served::Outgoing;

/// How long to wait for the end of an attempt once its cancellation is confirmed.
const STOPPED: Duration = Duration::from_secs(1);

/// A response whose status and headers have arrived, with the slot that its body still holds.
pub(super) struct Head {
    pub(super) answer: reqwest::Response,
    pub(super) held: HeldSlot,
    pub(super) latency: Duration,
}

/// Sends a request and waits for the status and headers of its response.
///
/// The attempt runs in its own task: if the caller disconnects, the task cancels the work at the
/// backend server and holds the slot until the work is known to have ended.
pub(super) async fn send(egress: &Arc<Egress>, outgoing: Outgoing) -> Result<Head, RefusalCode> {
    let (sender, receiver) = oneshot::channel();
    tokio::spawn(run(Arc::clone(egress), outgoing, sender));
    receiver.await.unwrap_or(Err(RefusalCode::AnswerLost))
}

async fn run(
    egress: Arc<Egress>,
    outgoing: Outgoing,
    mut waiting: oneshot::Sender<Result<Head, RefusalCode>>,
) {
    let Outgoing {
        request,
        held,
        deadline,
        exceeded,
    } = outgoing;
    let sent = egress.clock.now();
    let client = egress.link.requests();
    let mut answer = std::pin::pin!(client.execute(request));
    let outcome = tokio::select! {
        answer = &mut answer => Some(answer),
        () = waiting.closed() => None,
        () = egress.sleep_until(deadline) => None,
    };
    match outcome {
        Some(Ok(answer)) => {
            let latency = egress.clock.now().since(sent);
            let _ = waiting.send(Ok(Head {
                answer,
                held,
                latency,
            }));
        }
        Some(Err(error)) => {
            let (end, code) = match exceeded.load(Ordering::Acquire) {
                true => (AttemptOutcome::Abandoned, RefusalCode::BodyOverrun),
                false => judge_error(&error),
            };
            held.end(end);
            let _ = waiting.send(Err(code));
        }
        None => {
            let _ = waiting.send(Err(RefusalCode::DeadlineUnknown));
            // The slot is known to be free only once the backend server responds, the connection
            // fails, or the cancellation is confirmed and its timeout has passed. The connection
            // is kept until then. A late response is discarded.
            tokio::select! {
                late = &mut answer => drop(late),
                () = egress.cancel_surely(held.origin()) => {
                    let _ = tokio::time::timeout(STOPPED, answer).await;
                }
            }
            held.end(AttemptOutcome::Abandoned);
        }
    }
}

fn judge_error(error: &reqwest::Error) -> (AttemptOutcome, RefusalCode) {
    match error.is_connect() {
        // Unlike a refused connection, a timeout does not mean that the server is unreachable: the
        // host may be busy.
        true if error.is_timeout() => (AttemptOutcome::Lost, RefusalCode::ServerUnreachable),
        true => (AttemptOutcome::Unreachable, RefusalCode::ServerUnreachable),
        false => (AttemptOutcome::Lost, RefusalCode::AnswerLost),
    }
}
