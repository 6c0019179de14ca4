//! A stored response.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::StoredHeader;

/// A whole response of a backend server, returned to every repetition of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The end-to-end headers.
    pub headers: Vec<StoredHeader>,
    /// The body.
    pub body: Bytes,
}

impl StoredResponse {
    /// Returns the approximate memory that the response takes, in bytes.
    pub fn size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|header| header.name.len() + header.value.len())
            .sum();
        self.body.len() + headers
    }
}
