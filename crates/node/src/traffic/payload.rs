//! The body of a request to a backend server.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use axum::body::Body;
use bytes::Bytes;
use futures::StreamExt;

/// The largest body that is buffered before anything is sent, so that it can be sent again.
pub(super) const MAX_BUFFERED_BYTES: u64 = 64 * 1024;

/// The body of a request.
#[derive(Debug)]
pub(super) enum Payload {
    /// Read completely; may be sent more than once.
    Buffered(Bytes),
    /// Forwarded as it arrives; can be sent only once.
    Streamed(StreamedBody),
}

/// A body that is forwarded as it arrives.
#[derive(Debug)]
pub(super) struct StreamedBody {
    body: Body,
    limit: u64,
    exceeded: Arc<AtomicBool>,
}

/// The error that ends a streamed body which exceeds its route's limit.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("the body is larger than the route accepts")]
struct BodyTooLarge;

impl StreamedBody {
    pub(super) fn new(body: Body, limit: u64) -> Self {
        Self {
            body,
            limit,
            exceeded: Arc::default(),
        }
    }
}

impl Payload {
    /// Returns a copy if the body can be sent again.
    pub(super) fn try_clone(&self) -> Option<Self> {
        match self {
            Self::Buffered(bytes) => Some(Self::Buffered(bytes.clone())),
            Self::Streamed(_) => None,
        }
    }

    /// Returns a flag that is set if the body exceeds its route's limit while it is sent.
    pub(super) fn exceeded(&self) -> Arc<AtomicBool> {
        match self {
            Self::Buffered(_) => Arc::default(),
            Self::Streamed(streamed) => Arc::clone(&streamed.exceeded),
        }
    }

    /// Converts the body into that of an outgoing request; none if it is empty.
    pub(super) fn into_reqwest(self) -> Option<reqwest::Body> {
        let streamed = match self {
            Self::Buffered(bytes) if bytes.is_empty() => return None,
            Self::Buffered(bytes) => return Some(reqwest::Body::from(bytes)),
            Self::Streamed(streamed) => streamed,
        };
        let StreamedBody {
            body,
            limit,
            exceeded,
        } = streamed;
        let mut sent_bytes = 0_u64;
        let stream = body.into_data_stream().map(move |chunk| {
            let chunk = chunk.map_err(std::io::Error::other)?;
            sent_bytes += chunk.len() as u64;
            if sent_bytes > limit {
                exceeded.store(true, Ordering::Release);
                return Err(std::io::Error::other(BodyTooLarge));
            }
            Ok(chunk)
        });
        Some(reqwest::Body::wrap_stream(stream))
    }
}
