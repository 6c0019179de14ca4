//! Spans of time that operators type.

use std::str::FromStr;
use std::time::Duration;

/// Is a span with its unit, as in `20s` or `500ms`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span(pub Duration);

impl FromStr for Span {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let units: [(&str, u64); 3] = [("ms", 1), ("s", 1_000), ("m", 60_000)];
        let parsed = units.iter().find_map(|(unit, factor)| {
            let number: u32 = text.strip_suffix(unit)?.parse().ok()?;
            Some(Self(Duration::from_millis(u64::from(number) * factor)))
        });
        parsed.ok_or_else(|| "a span is a number with ms, s or m, such as 20s".to_owned())
    }
}
