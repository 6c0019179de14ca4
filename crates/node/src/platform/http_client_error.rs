//! Why a way to a far side can't be opened.

/// Says why a way to a far side can't be opened.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("an HTTP connector can't be made")]
pub struct HttpClientError(#[from] reqwest::Error);
