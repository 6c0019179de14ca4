//! Records of topics that keep the newest value of each key.

/// A record as the store returns it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: String,
    /// The value; an empty one marks a deleted key.
    pub value: Vec<u8>,
}
