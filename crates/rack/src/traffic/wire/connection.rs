//! One connection of a pool.

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use quetzalrack_core::time::Moment;
use tokio::task::AbortHandle;

use super::ExchangeError;

/// One connection; dropping it closes it, and cancels its request at the peer.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) opened_at: Moment,
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) task: AbortHandle,
}

/// The result of sending a request on one connection.
pub(super) enum SendOutcome {
    Answered(Response<Bytes>),
    /// The connection had been closed; nothing was written.
    Unwritten(Request<Full<Bytes>>),
}

impl Connection {
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<SendOutcome, ExchangeError> {
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => match error.take_message() {
                Some(unsent) => return Ok(SendOutcome::Unwritten(unsent)),
                None => return Err(error.into_error().into()),
            },
        };
        let (head, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(SendOutcome::Answered(Response::from_parts(head, body)))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
