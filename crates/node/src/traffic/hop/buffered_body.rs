//! Buffering of small response bodies.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;

/// How long a body may make no progress before it counts as broken.
pub(in crate::traffic) const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The part of a response's body that was read.
#[derive(Debug)]
pub(in crate::traffic) enum BufferedBody {
    /// The complete body.
    Complete(Bytes),
    /// The first part of a body that is longer than the limit.
    Partial(Bytes),
    /// The body failed or stalled before its end.
    Broken,
}

/// Reads a response's body up to a limit.
///
/// If a small body fails partway, the caller gets a refusal, after which the request may be
/// retried, instead of an aborted connection.
pub(in crate::traffic) async fn buffer_body(
    response: &mut reqwest::Response,
    limit: usize,
) -> BufferedBody {
    if response
        .content_length()
        .is_some_and(|length| length > limit as u64)
    {
        return BufferedBody::Partial(Bytes::new());
    }
    let mut read = BytesMut::new();
    loop {
        match tokio::time::timeout(BODY_STALL_TIMEOUT, response.chunk()).await {
            Ok(Ok(Some(chunk))) => read.extend_from_slice(&chunk),
            Ok(Ok(None)) => return BufferedBody::Complete(read.freeze()),
            Ok(Err(_)) | Err(_) => return BufferedBody::Broken,
        }
        if read.len() > limit {
            return BufferedBody::Partial(read.freeze());
        }
    }
}
