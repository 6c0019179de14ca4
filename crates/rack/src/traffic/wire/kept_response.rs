//! A response on a connection that stays open.

use http::Response;

use crate::traffic::body::Payload;

/// A response that came on a kept connection.
#[derive(Debug)]
pub(crate) struct KeptResponse {
    pub(crate) response: Response<Payload>,
    /// Whether nothing was sent on the connection before, so that it can't be a response to another request.
    pub(crate) is_first: bool,
}
