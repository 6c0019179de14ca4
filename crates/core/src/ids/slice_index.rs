//! The number of a slice in its service.

use super::macros::number_id;

number_id! {
    /// Numbers a slice within its service; numbers past the document's count are hot keys of their own.
    SliceIndex, u32
}
