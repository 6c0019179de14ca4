//! Streaming of response bodies.

use std::io;
use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use futures::stream;
use quetzalrack_core::traffic::admission::AttemptOutcome;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::served::HeldSlot;
use crate::traffic::hop::STALL;

/// The most chunks buffered for a reader that is slower than the backend server.
const AHEAD: usize = 4;

/// A message from the task that receives the body to its reader.
enum Piece {
    Data(Bytes),
    End,
}

/// Creates a body that forwards a response chunk by chunk, and holds the slot until its end.
///
/// If the response fails partway, the stream ends with an error, so that the caller's connection is
/// aborted and a truncated body never looks complete. A reader that stalls is aborted too, because
/// its slot is not available to other requests.
pub(super) fn passing_body(
    first: Bytes,
    answer: reqwest::Response,
    held: HeldSlot,
    latency: Duration,
) -> Body {
    let (sender, receiver) = mpsc::channel(AHEAD);
    tokio::spawn(pass_on(first, answer, held, latency, sender));
    Body::from_stream(stream::unfold(Some(receiver), |receiver| async move {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(Piece::Data(data)) => Some((Ok(data), Some(receiver))),
            Some(Piece::End) => None,
            None => Some((Err(io::Error::from(io::ErrorKind::UnexpectedEof)), None)),
        }
    }))
}

/// Forwards the chunks until the end; dropping the slot before that cancels the work.
async fn pass_on(
    first: Bytes,
    mut answer: reqwest::Response,
    held: HeldSlot,
    latency: Duration,
    reader: mpsc::Sender<Piece>,
) {
    if !first.is_empty() && !give(&reader, Piece::Data(first)).await {
        return;
    }
    loop {
        match timeout(STALL, answer.chunk()).await {
            Ok(Ok(Some(data))) => {
                if !give(&reader, Piece::Data(data)).await {
                    return;
                }
            }
            Ok(Ok(None)) => {
                held.end(AttemptOutcome::Answered(latency));
                give(&reader, Piece::End).await;
                return;
            }
            Ok(Err(_)) => {
                held.end(AttemptOutcome::Lost);
                return;
            }
            // The backend server stalled partway and may still resume, so the work is cancelled.
            Err(_) => return,
        }
    }
}

async fn give(reader: &mpsc::Sender<Piece>, piece: Piece) -> bool {
    matches!(timeout(STALL, reader.send(piece)).await, Ok(Ok(())))
}
