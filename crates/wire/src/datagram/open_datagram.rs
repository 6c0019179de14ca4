//! Verifying and decoding.

use quetzalrack_core::security::KeyRing;
use quetzalrack_core::security::Signature;
use serde::de::DeserializeOwned;

use super::DatagramError;
use super::VERSION;

/// Verifies and decodes a datagram.
///
/// The body is decoded only after its signature was verified, so a stranger's bytes never reach
/// the decoder of messages.
pub fn open_datagram<M>(sealed: &[u8], keys: &KeyRing) -> Result<M, DatagramError>
where
    M: DeserializeOwned,
{
    let Some((&VERSION, rest)) = sealed.split_first() else {
        return Err(DatagramError::Version);
    };
    let (signature, body) =
        postcard::take_from_bytes::<Signature>(rest).map_err(|_| DatagramError::Signature)?;
    let mut signed = Vec::with_capacity(body.len() + 1);
    signed.push(VERSION);
    signed.extend_from_slice(body);
    if !keys.verify(&signed, &signature) {
        return Err(DatagramError::Signature);
    }
    let (message, left) = postcard::take_from_bytes(body).map_err(DatagramError::Body)?;
    if left.is_empty() {
        Ok(message)
    } else {
        Err(DatagramError::Body(postcard::Error::DeserializeBadEncoding))
    }
}
