//! Sizes in bytes.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// One million bytes.
const MEGABYTE: u64 = 1_000_000;
/// The suffix of a size in text.
const UNIT: &str = "B";

/// A number of bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ByteSize(pub u64);

impl ByteSize {
    /// Makes a size from megabytes.
    pub const fn from_megabytes(megabytes: u64) -> Self {
        Self(megabytes.saturating_mul(MEGABYTE))
    }

    /// Returns the size in whole megabytes.
    pub const fn megabytes(self) -> u64 {
        self.0 / MEGABYTE
    }

    /// Returns so many hundredths of the size.
    pub const fn percent(self, percent: u64) -> Self {
        Self(self.0 / 100 * percent)
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{UNIT}", self.0)
    }
}

impl FromStr for ByteSize {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_suffix(UNIT).unwrap_or(text).parse().map(Self)
    }
}
