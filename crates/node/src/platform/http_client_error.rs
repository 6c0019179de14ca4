//! Why an HTTP client can't be created.

/// Why the HTTP client of the log service can't be created.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("an HTTP client can't be created")]
pub struct HttpClientError(#[from] reqwest::Error);
