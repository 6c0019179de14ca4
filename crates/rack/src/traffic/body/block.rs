//! A part of a body, with what it was charged.

use bytes::Bytes;

use crate::budget::Charge;

/// Memory of a part of a body; its charge ends with it, also if the HTTP library holds it last.
struct Block {
    bytes: Vec<u8>,
    _charge: Charge,
}

impl AsRef<[u8]> for Block {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Makes the bytes of a charged part of a body.
pub(super) fn seal(bytes: Vec<u8>, charge: Charge) -> Bytes {
    Bytes::from_owner(Block {
        bytes,
        _charge: charge,
    })
}
