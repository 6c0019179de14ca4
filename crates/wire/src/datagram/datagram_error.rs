//! Why a datagram was not sent or not taken.

/// Says what is wrong with a datagram.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum DatagramError {
    /// The message does not fit into one datagram.
    #[error("a message of {size} bytes does not fit into one datagram")]
    TooLarge {
        /// The encoded size, in bytes.
        size: usize,
    },
    /// The version byte is not the one of this release.
    #[error("the datagram's version is not known")]
    Version,
    /// None of the keys made the signature, or there is none.
    #[error("the datagram is not signed by a known key")]
    Signature,
    /// The body can't be encoded or decoded.
    #[error("the datagram's body is malformed")]
    Body(#[source] postcard::Error),
}
