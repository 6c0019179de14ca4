//! What a field is.

use super::kind::Kind;

/// Describes one field of an object.
#[derive(Clone, Copy)]
pub(super) struct FieldRule {
    pub name: &'static str,
    pub kind: Kind,
    pub required: bool,
}

impl FieldRule {
    /// Describes a field that must be there.
    pub const fn required(name: &'static str, kind: Kind) -> Self {
        Self {
            name,
            kind,
            required: true,
        }
    }

    /// Describes a field that has a default.
    pub const fn optional(name: &'static str, kind: Kind) -> Self {
        Self {
            name,
            kind,
            required: false,
        }
    }
}
