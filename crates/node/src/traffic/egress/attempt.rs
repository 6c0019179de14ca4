//! Sending one attempt to the backend server.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use quetzalrack_core::traffic::admission::AttemptOutcome;
use quetzalrack_core::traffic::refusal::RefusalCode;
use tokio::sync::oneshot;

use super::Egress;
use super::prepared_request::HeldSlot;
use super::prepared_request::PreparedRequest;
use crate::server_calls::ServerCallError;

/// How long to wait for the end of an attempt once its cancellation is confirmed.
const CANCELLED_TIMEOUT: Duration = Duration::from_secs(1);

/// A response whose status and headers have arrived, with the slot that its body still holds.
pub(super) struct StartedResponse {
    pub(super) response: reqwest::Response,
    pub(super) held_slot: HeldSlot,
    pub(super) latency: Duration,
}

/// Sends a request and waits for the status and headers of its response.
///
/// The attempt runs in its own task: if the caller disconnects, the task cancels the work at the
/// backend server and holds the slot until the work is known to have ended.
pub(super) async fn send(
    egress: &Arc<Egress>,
    prepared: PreparedRequest,
) -> Result<StartedResponse, RefusalCode> {
    let (sender, receiver) = oneshot::channel();
    tokio::spawn(run(Arc::clone(egress), prepared, sender));
    receiver.await.unwrap_or(Err(RefusalCode::AnswerLost))
}

async fn run(
    egress: Arc<Egress>,
    prepared: PreparedRequest,
    mut caller: oneshot::Sender<Result<StartedResponse, RefusalCode>>,
) {
    let PreparedRequest {
        request,
        held_slot,
        cancel_at,
        body_exceeded,
    } = prepared;
    let sent_at = egress.clock.now();
    let pool = egress.client.request_pool();
    let mut response = std::pin::pin!(pool.send(held_slot.origin().address, request));
    let outcome = tokio::select! {
        response = &mut response => Some(response),
        () = caller.closed() => None,
        () = egress.sleep_until(cancel_at) => None,
    };
    match outcome {
        Some(Ok(response)) => {
            let latency = egress.clock.now().since(sent_at);
            let _ = caller.send(Ok(StartedResponse {
                response,
                held_slot,
                latency,
            }));
        }
        Some(Err(error)) => {
            let (outcome, code) = match body_exceeded.load(Ordering::Acquire) {
                true => (AttemptOutcome::Abandoned, RefusalCode::BodyOverrun),
                false => classify_error(&error),
            };
            match outcome {
                AttemptOutcome::Lost => held_slot.lost().await,
                outcome => held_slot.end(outcome),
            }
            let _ = caller.send(Err(code));
        }
        None => {
            let _ = caller.send(Err(RefusalCode::DeadlineUnknown));
            egress.check_server(held_slot.origin()).await;
            // The slot is known to be free only once the backend server responds, the connection
            // fails, or the cancellation is confirmed and its timeout has passed. The connection
            // is kept until then. A late response is discarded.
            tokio::select! {
                late = &mut response => drop(late),
                () = egress.cancel_until_confirmed(held_slot.origin()) => {
                    let _ = tokio::time::timeout(CANCELLED_TIMEOUT, response).await;
                }
            }
            held_slot.end(AttemptOutcome::Abandoned);
        }
    }
}

fn classify_error(error: &ServerCallError) -> (AttemptOutcome, RefusalCode) {
    match error {
        // Unlike a refused connection, a timeout does not mean that the server is unreachable: the
        // host may be busy.
        ServerCallError::ConnectTimeout => (AttemptOutcome::Lost, RefusalCode::ServerUnreachable),
        ServerCallError::Connect(_) => {
            (AttemptOutcome::Unreachable, RefusalCode::ServerUnreachable)
        }
        ServerCallError::Broken(_) => (AttemptOutcome::Lost, RefusalCode::AnswerLost),
    }
}
