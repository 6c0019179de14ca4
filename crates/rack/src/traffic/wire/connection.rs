//! One connection of a pool.

use std::rc::Rc;

use http::Request;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::traffic::budget::Kind;
use tokio::task::AbortHandle;

use super::CallTag;
use super::ExchangeError;
use super::response_meter::ResponseMeter;
use crate::budget::ProcessBudget;
use crate::traffic::body::Payload;
use crate::traffic::body::PayloadBuilder;
use crate::traffic::body::PayloadStream;

/// One connection; dropping it closes it, and cancels its request at the peer.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) opened_at: Moment,
    pub(super) sender: SendRequest<PayloadStream>,
    pub(super) meter: Rc<ResponseMeter>,
    /// What its responses are charged to.
    pub(super) budget: Rc<ProcessBudget>,
    pub(super) task: AbortHandle,
    /// Whether it has carried a request, so that further responses to that may still come.
    pub(super) is_used: bool,
    /// The calls that it has carried and that may still be repeated.
    pub(super) carried: Vec<CallTag>,
}

/// The result of sending a request on one connection.
pub(super) enum SendOutcome {
    Answered(Response<Payload>),
    /// The connection had been closed; nothing was written.
    Unwritten(Request<Payload>),
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
        request: Request<Payload>,
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

    async fn exchange(&mut self, request: Request<Payload>) -> Result<SendOutcome, ExchangeError> {
        let (head, body) = request.into_parts();
        let stream = Request::from_parts(head, PayloadStream::from(body.clone()));
        let response = match self.sender.try_send_request(stream).await {
            Ok(response) => response,
            Err(mut error) => match error.take_message() {
                Some(unsent) => return Ok(SendOutcome::Unwritten(unsent.map(|_| body))),
                None => return Err(error.into_error().into()),
            },
        };
        let (head, body) = response.into_parts();
        let body = self.read_body(body).await?;
        Ok(SendOutcome::Answered(Response::from_parts(head, body)))
    }

    async fn read_body(&self, body: Incoming) -> Result<Payload, ExchangeError> {
        let mut body = body;
        if body.is_end_stream() {
            return Ok(Payload::default());
        }
        let expected = body.size_hint().exact();
        let expected = expected.and_then(|bytes| usize::try_from(bytes).ok());
        let holder = self.budget.open(Kind::Response)?;
        let mut builder = PayloadBuilder::new(&holder, expected);
        let reading = async {
            while let Some(frame) = body.frame().await {
                if let Ok(data) = frame?.into_data() {
                    self.meter.record_body(data.len());
                    builder.push(&data)?;
                }
            }
            Ok::<_, ExchangeError>(())
        };
        tokio::select! {
            biased;
            () = holder.evicted() => return Err(ExchangeError::NoRoom),
            outcome = reading => outcome?,
        }
        Ok(builder.finish())
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
