//! Bounds on what a server sends as one response.

/// What may arrive as one response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseBounds {
    /// How many bytes may arrive without adding to the body: a head, the framing of a body, and what is read ahead.
    pub unused_bytes: usize,
    /// The longest body; none if it is passed on as it arrives.
    pub body_bytes: Option<u64>,
}
