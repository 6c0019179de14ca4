//! Encoding and signing.

use quetzalrack_core::security::KeyRing;
use serde::Serialize;

use super::DatagramError;
use super::LARGEST_DATAGRAM;
use super::VERSION;

/// Encodes a message as one signed datagram: version, signature, body.
///
/// The signature covers the version and the body, so neither can be changed on the way.
pub fn seal_datagram<M>(message: &M, keys: &KeyRing) -> Result<Vec<u8>, DatagramError>
where
    M: Serialize,
{
    let signed = postcard::to_extend(message, vec![VERSION]).map_err(DatagramError::Body)?;
    let signature = keys.sign(&signed);
    let mut sealed = postcard::to_extend(&signature, vec![VERSION]).map_err(DatagramError::Body)?;
    sealed.extend_from_slice(&signed[1..]);
    if sealed.len() > LARGEST_DATAGRAM {
        return Err(DatagramError::TooLarge { size: sealed.len() });
    }
    Ok(sealed)
}
