//! Where something stands in a document.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Is a place in a document's text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Place {
    /// The first byte.
    pub offset: usize,
    /// How many bytes it spans.
    pub length: usize,
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
}

impl Place {
    /// Finds the line and column of a span of bytes.
    pub fn of(text: &[u8], offset: usize, length: usize) -> Self {
        let before = &text[..offset.min(text.len())];
        let line_start = before
            .iter()
            .rposition(|b| *b == b'\n')
            .map_or(0, |at| at + 1);
        let line = before.iter().filter(|b| **b == b'\n').count() + 1;
        let column = String::from_utf8_lossy(&before[line_start..])
            .chars()
            .count()
            + 1;
        Self {
            offset,
            length,
            line,
            column,
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}
