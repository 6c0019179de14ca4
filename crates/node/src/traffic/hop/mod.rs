//! Requests between two nodes, and what they share with requests to a backend server.

mod buffered_body;
mod forwarded_headers;
mod hop_authenticator;
mod hop_request;
mod response_match;

pub(super) use buffered_body::BODY_STALL_TIMEOUT;
pub(super) use buffered_body::BufferedBody;
pub(super) use buffered_body::buffer_body;
pub(super) use forwarded_headers::retain_forwarded;
pub(super) use forwarded_headers::set_header;
pub(super) use hop_authenticator::HopAuthenticator;
pub(super) use hop_authenticator::HopVerification;
pub(super) use hop_request::HopRequest;
pub(super) use hop_request::digest_content;
pub(super) use hop_request::slice_in;
pub(super) use response_match::matches_attempt;
