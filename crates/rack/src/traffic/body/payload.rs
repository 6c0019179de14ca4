//! A body that was received whole.

use std::rc::Rc;

use bytes::Bytes;
use quetzalrack_mesh::traffic::budget::Kind;

use super::PayloadBuilder;
use crate::budget::NoRoom;
use crate::budget::ProcessBudget;

/// A whole body, in blocks. Copies share them.
///
/// A single buffer that grows would be copied each time, and the memory of a body needed twice.
#[derive(Clone, Debug, Default)]
pub(crate) struct Payload {
    blocks: Rc<[Bytes]>,
    length: usize,
}

impl Payload {
    /// Makes a body of blocks.
    pub(super) fn new(blocks: Vec<Bytes>) -> Self {
        Self {
            length: blocks.iter().map(Bytes::len).sum(),
            blocks: blocks.into(),
        }
    }

    /// Makes a body of bytes of this process and charges it as a response.
    pub(crate) fn charged(budget: &Rc<ProcessBudget>, bytes: &[u8]) -> Result<Self, NoRoom> {
        let holder = budget.open(Kind::Response)?;
        let mut builder = PayloadBuilder::new(&holder, Some(bytes.len()));
        builder.push(bytes)?;
        Ok(builder.finish())
    }

    /// Returns the number of bytes.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Returns the blocks in their order.
    pub(crate) fn blocks(&self) -> &[Bytes] {
        &self.blocks
    }

    /// Returns all bytes in one piece, for short bodies of calls between processes.
    pub(crate) fn to_bytes(&self) -> Bytes {
        match self.blocks() {
            [] => Bytes::new(),
            [block] => block.clone(),
            blocks => blocks.concat().into(),
        }
    }
}

impl From<Bytes> for Payload {
    /// Makes a body of bytes of this process, which are not charged.
    fn from(bytes: Bytes) -> Self {
        match bytes.is_empty() {
            true => Self::default(),
            false => Self::new(vec![bytes]),
        }
    }
}
