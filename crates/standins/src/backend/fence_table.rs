//! The highest fences seen.

use std::collections::BTreeMap;

use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::SliceId;

/// Keeps the highest fence of each slice.
#[derive(Clone, Debug, Default)]
pub struct FenceTable {
    highest: BTreeMap<SliceId, Fence>,
}

impl FenceTable {
    /// Takes a fence, or returns the newer one that is already known.
    pub fn take(&mut self, slice: &SliceId, fence: Fence) -> Result<(), Fence> {
        match self.highest.get(slice) {
            Some(known) if *known > fence => Err(*known),
            _ => {
                self.highest.insert(slice.clone(), fence);
                Ok(())
            }
        }
    }
}
