//! A response on a connection that stays open.

use bytes::Bytes;
use http::Response;

/// A response that came on a kept connection.
#[derive(Debug)]
pub(crate) struct KeptResponse {
    pub(crate) response: Response<Bytes>,
    /// Whether nothing was sent on the connection before, so that it can't be a response to another request.
    pub(crate) is_first: bool,
}
