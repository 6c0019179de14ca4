//! What a command says.

use std::fmt;

use serde::Serialize;

use super::Exit;

/// Is a command's whole output with its exit status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// How the command ended.
    pub exit: Exit,
    /// The text, line by line.
    pub lines: Vec<String>,
}

impl Report {
    /// Makes a report of one line.
    pub fn line(exit: Exit, line: String) -> Self {
        Self {
            exit,
            lines: vec![line],
        }
    }

    /// Makes a report of a value as JSON.
    pub fn json<T>(exit: Exit, value: &T) -> Self
    where
        T: Serialize,
    {
        let text = serde_json::to_string_pretty(value);
        Self::line(exit, text.unwrap_or_else(|error| error.to_string()))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        Ok(())
    }
}
