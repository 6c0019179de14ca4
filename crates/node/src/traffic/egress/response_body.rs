//! Streaming of response bodies.

use std::io;
use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use futures::stream;
use quetzalrack_core::traffic::admission::AttemptOutcome;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::prepared_request::HeldSlot;
use crate::traffic::hop::BODY_STALL_TIMEOUT;

/// The most chunks buffered for a reader that is slower than the backend server.
const MAX_BUFFERED_CHUNKS: usize = 4;

/// A message from the task that receives the body to its reader.
enum BodyMessage {
    Chunk(Bytes),
    End,
}

/// Creates a body that forwards a response chunk by chunk, and holds the slot until its end.
///
/// If the response fails partway, the stream ends with an error, so that the caller's connection is
/// aborted and a truncated body never looks complete. A reader that stalls is aborted too, because
/// its slot is not available to other requests.
pub(super) fn stream_body(
    first: Bytes,
    response: reqwest::Response,
    held_slot: HeldSlot,
    latency: Duration,
) -> Body {
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    tokio::spawn(forward_chunks(first, response, held_slot, latency, sender));
    Body::from_stream(stream::unfold(Some(receiver), |receiver| async move {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(BodyMessage::Chunk(data)) => Some((Ok(data), Some(receiver))),
            Some(BodyMessage::End) => None,
            None => Some((Err(io::Error::from(io::ErrorKind::UnexpectedEof)), None)),
        }
    }))
}

/// Forwards the chunks until the end; dropping the slot before that cancels the work.
async fn forward_chunks(
    first: Bytes,
    mut response: reqwest::Response,
    held_slot: HeldSlot,
    latency: Duration,
    reader: mpsc::Sender<BodyMessage>,
) {
    if !first.is_empty() && !send_message(&reader, BodyMessage::Chunk(first)).await {
        return;
    }
    loop {
        match timeout(BODY_STALL_TIMEOUT, response.chunk()).await {
            Ok(Ok(Some(data))) => {
                if !send_message(&reader, BodyMessage::Chunk(data)).await {
                    return;
                }
            }
            Ok(Ok(None)) => {
                held_slot.end(AttemptOutcome::Answered(latency));
                send_message(&reader, BodyMessage::End).await;
                return;
            }
            Ok(Err(_)) => {
                held_slot.lost().await;
                return;
            }
            // The backend server stalled partway and may still resume, so the work is cancelled.
            Err(_) => return,
        }
    }
}

async fn send_message(reader: &mpsc::Sender<BodyMessage>, message: BodyMessage) -> bool {
    matches!(
        timeout(BODY_STALL_TIMEOUT, reader.send(message)).await,
        Ok(Ok(()))
    )
}
