//! A caller that remembers what it asked and got.

mod call_report;
mod call_request;
mod http_caller;

pub use call_report::CallReport;
pub use call_request::CallRequest;
pub use http_caller::HttpCaller;
