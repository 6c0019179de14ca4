//! Ranges of keys.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// A range of keys, including both ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "KeyRangeFields")]
pub struct KeyRange {
    /// The first key.
    pub first: u16,
    /// The last key, not below the first.
    pub last: u16,
}

/// The fields as another process has sent them.
#[derive(Deserialize)]
struct KeyRangeFields {
    first: u16,
    last: u16,
}

impl TryFrom<KeyRangeFields> for KeyRange {
    type Error = ParseKeyRangeError;

    fn try_from(fields: KeyRangeFields) -> Result<Self, Self::Error> {
        Self::new(fields.first, fields.last).ok_or(ParseKeyRangeError)
    }
}

/// The error for a string that is not a range of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("a range of keys is written FIRST-LAST, with FIRST not above LAST")]
pub struct ParseKeyRangeError;

impl KeyRange {
    /// All keys.
    pub const ALL: Self = Self {
        first: 0,
        last: u16::MAX,
    };

    /// Creates a range; `None` if `first` is above `last`.
    pub fn new(first: u16, last: u16) -> Option<Self> {
        (first <= last).then_some(Self { first, last })
    }

    /// Tells whether a key lies in the range.
    pub fn contains(&self, key: u16) -> bool {
        (self.first..=self.last).contains(&key)
    }

    /// Returns the number of keys.
    pub fn size(&self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Returns the keys in both ranges.
    pub fn common(&self, other: &Self) -> Option<Self> {
        Self::new(self.first.max(other.first), self.last.min(other.last))
    }

    /// Returns the parts of this range before and after `other`.
    pub fn without(&self, other: &Self) -> [Option<Self>; 2] {
        if self.common(other).is_none() {
            return [Some(*self), None];
        }
        let before = other.first.checked_sub(1);
        let after = other.last.checked_add(1);
        [
            before.and_then(|last| Self::new(self.first, last)),
            after.and_then(|first| Self::new(first, self.last)),
        ]
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.first, self.last)
    }
}

impl FromStr for KeyRange {
    type Err = ParseKeyRangeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (first, last) = text.split_once('-').ok_or(ParseKeyRangeError)?;
        let first = first.parse().map_err(|_| ParseKeyRangeError)?;
        let last = last.parse().map_err(|_| ParseKeyRangeError)?;
        Self::new(first, last).ok_or(ParseKeyRangeError)
    }
}
