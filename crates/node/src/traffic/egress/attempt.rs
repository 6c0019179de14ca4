//! One attempt at the backend server.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use quetzalrack_core::traffic::admission::AttemptOutcome;
use quetzalrack_core::traffic::refusal::RefusalCode;
use tokio::sync::oneshot;

use super::Egress;
use super::served::HeldSlot;
use super::served::Outgoing;

/// How long an attempt may still take once the backend server has confirmed its cancellation.
const STOPPED: Duration = Duration::from_secs(1);

/// Is the beginning of an answer, with the slot that its body still holds.
pub(super) struct Head {
    pub(super) answer: reqwest::Response,
    pub(super) held: HeldSlot,
    pub(super) latency: Duration,
}

/// Sends a request and waits for the beginning of its answer.
///
/// The attempt runs in a task of its own: when the caller goes away, the task cancels the work at
/// the backend server and keeps the slot until the work has surely ended.
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
            // The connection is kept until the backend server answers, it breaks, or the stop is
            // confirmed and has had its time: only then is the slot surely free. The late answer
            // goes to nobody.
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
        // No answer to the connection says less than its refusal: the host may be busy.
        true if error.is_timeout() => (AttemptOutcome::Lost, RefusalCode::ServerUnreachable),
        true => (AttemptOutcome::Unreachable, RefusalCode::ServerUnreachable),
        false => (AttemptOutcome::Lost, RefusalCode::AnswerLost),
    }
}
