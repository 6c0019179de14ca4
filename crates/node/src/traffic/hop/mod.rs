//! Requests between two nodes, and what they share with requests to a backend server.

mod hop_request;
mod hop_seal;
mod passed_headers;
mod read_ahead;
mod whole_answer;

pub(super) use hop_request::HopRequest;
pub(super) use hop_request::slice_in;
pub(super) use hop_seal::HopSeal;
pub(super) use hop_seal::SealOutcome;
pub(super) use passed_headers::put;
pub(super) use passed_headers::retain_passed;
pub(super) use read_ahead::ReadAhead;
pub(super) use read_ahead::STALL;
pub(super) use read_ahead::read_ahead;
pub(super) use whole_answer::echoes;
