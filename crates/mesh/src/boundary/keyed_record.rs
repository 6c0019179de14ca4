//! A record of a topic that keeps the newest value of each key.

/// Is one record as the store returns it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: String,
    /// The value; an empty one says that the key was dropped.
    pub value: Vec<u8>,
}
