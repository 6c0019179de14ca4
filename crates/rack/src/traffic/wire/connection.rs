//! One connection of a pool.

use std::rc::Rc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use quetzalrack_core::time::Moment;
use tokio::task::AbortHandle;

use super::CallTag;
use super::ExchangeError;
use super::response_meter::ResponseMeter;

/// One connection; dropping it closes it, and cancels its request at the peer.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) opened_at: Moment,
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) meter: Rc<ResponseMeter>,
    pub(super) task: AbortHandle,
    /// Whether it has carried a request, so that further responses to that may still come.
    pub(super) is_used: bool,
    /// The calls that it has carried and that may still be repeated.
    pub(super) carried: Vec<CallTag>,
}

/// The result of sending a request on one connection.
pub(super) enum SendOutcome {
    Answered(Response<Bytes>),
    /// The connection had been closed; nothing was written.
    Unwritten(Request<Full<Bytes>>),
}

impl Connection {
    /// Records a call that is about to be sent.
    pub(super) fn record(&mut self, now: Moment, tag: CallTag) {
        self.carried.retain(|carried| !carried.has_ended(now));
        self.carried.push(tag);
    }

    /// Returns whether a call may be sent: no response to an earlier one can be taken for its response.
    pub(super) fn fits(&self, tag: Option<&CallTag>) -> bool {
        !tag.is_some_and(|tag| self.carried.iter().any(|carried| carried.is_same_id(tag)))
    }

    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<SendOutcome, ExchangeError> {
        self.is_used = true;
        self.meter.start();
        let meter = Rc::clone(&self.meter);
        tokio::select! {
            biased;
            // Dropping the connection makes the peer stop.
            () = meter.exceeded() => Err(ExchangeError::Endless),
            outcome = self.exchange(request) => outcome,
        }
    }

    async fn exchange(
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
        let (head, mut body) = response.into_parts();
        let mut parts = Vec::new();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame?.into_data() {
                self.meter.record_body(data.len());
                parts.push(data);
            }
        }
        let body = match parts.len() {
            1 => parts.pop().unwrap_or_default(),
            _ => parts.concat().into(),
        };
        Ok(SendOutcome::Answered(Response::from_parts(head, body)))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
