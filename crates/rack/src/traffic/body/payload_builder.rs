//! Collects a body as it arrives.

use bytes::Bytes;

use super::Payload;
use super::block::seal;
use crate::budget::Charge;
use crate::budget::Holder;
use crate::budget::NoRoom;

/// The first block of a body whose length isn't known.
const FIRST_BLOCK_BYTES: usize = 1024;
/// The largest block: a body holds at most this much more than it has.
const MAX_BLOCK_BYTES: usize = 64 * 1024;

/// Collects the parts of a body into blocks, each of which is charged before it is filled.
///
/// The parts themselves are not kept: one byte of a body that comes in chunks of one byte would cost what its
/// chunk and its place in a list take.
#[derive(Debug)]
pub(crate) struct PayloadBuilder<'a> {
    holder: &'a Holder,
    sealed: Vec<Bytes>,
    open: Option<(Vec<u8>, Charge)>,
    /// How much is still to come, if the sender has said so.
    expected: Option<usize>,
    length: usize,
}

impl<'a> PayloadBuilder<'a> {
    /// Makes a builder for a body of `expected` bytes, if that is known.
    pub(crate) fn new(holder: &'a Holder, expected: Option<usize>) -> Self {
        Self {
            holder,
            sealed: Vec::new(),
            open: None,
            expected,
            length: 0,
        }
    }

    /// Adds the next part.
    pub(crate) fn push(&mut self, part: &[u8]) -> Result<(), NoRoom> {
        let mut left = part;
        while !left.is_empty() {
            let (mut bytes, charge) = match self.open.take() {
                Some(open) => open,
                None => self.open_block()?,
            };
            let count = left.len().min(bytes.capacity() - bytes.len());
            let (now, later) = left.split_at(count);
            bytes.extend_from_slice(now);
            self.length += count;
            left = later;
            match bytes.len() == bytes.capacity() {
                true => self.sealed.push(seal(bytes, charge)),
                false => self.open = Some((bytes, charge)),
            }
        }
        Ok(())
    }

    /// Returns the body.
    pub(crate) fn finish(self) -> Payload {
        let mut blocks = self.sealed;
        blocks.extend(self.open.map(|(bytes, charge)| seal(bytes, charge)));
        Payload::new(blocks)
    }

    /// Charges the next block: as large as what is known to come, or as what came so far.
    fn open_block(&self) -> Result<(Vec<u8>, Charge), NoRoom> {
        let known = self
            .expected
            .map(|expected| expected.saturating_sub(self.length));
        let wanted = match known {
            Some(left) if left > 0 => left,
            _ => self.length.max(FIRST_BLOCK_BYTES),
        };
        let capacity = wanted.min(MAX_BLOCK_BYTES);
        let charge = self.holder.charge(capacity)?;
        Ok((Vec::with_capacity(capacity), charge))
    }
}
