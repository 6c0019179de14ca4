//! A whole answer, kept for repeats.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::StoredHeader;

/// Is the whole answer of a backend server, returned again to every repeat of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers that belong to the answer and not to a hop.
    pub headers: Vec<StoredHeader>,
    /// The body.
    pub body: Bytes,
}

impl StoredResponse {
    /// Returns about how many bytes of memory the answer takes.
    pub fn size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|header| header.name.len() + header.value.len())
            .sum();
        self.body.len() + headers
    }
}
