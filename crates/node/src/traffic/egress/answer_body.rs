//! The body of an answer that is passed on as it arrives.

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

/// How many pieces are kept for a reader that is slower than the backend server.
const AHEAD: usize = 4;

/// Is what the body's task tells its reader.
enum Piece {
    Data(Bytes),
    End,
}

/// Makes a body that passes an answer on, one piece at a time, and holds the slot until its end.
///
/// An answer that breaks off ends the stream with an error, so that the caller's connection is cut
/// and a truncated artwork never looks like a whole one. A reader that takes nothing for a while
/// is cut too: its slot would be missing to all others.
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

/// Passes the pieces on until the end; dropping the slot on the way cancels the work.
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
            // It stands still in the middle of an answer and may go on later.
            Err(_) => return,
        }
    }
}

async fn give(reader: &mpsc::Sender<Piece>, piece: Piece) -> bool {
    matches!(timeout(STALL, reader.send(piece)).await, Ok(Ok(())))
}
