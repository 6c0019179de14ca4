//! Units that were meant but are not those of the schema.

use super::kind::Kind;

/// Endings of field names that tell a unit.
const UNITS: [&str; 14] = [
    "ns", "us", "ms", "s", "sec", "seconds", "min", "minutes", "h", "bytes", "kb", "mb", "gb",
    "percent",
];

/// Tells whether two field names differ in their unit alone, as `lease_s` and `lease_ms` do.
pub(super) fn is_same(name: &str, known: &str) -> bool {
    name != known && stem(known) != known && stem(name) == stem(known)
}

/// Tells whether a text is a number with a unit, as in `100ms`.
pub(super) fn is_quantity(text: &str) -> bool {
    let text = text.trim();
    let digits = text.trim_start_matches(|c: char| c.is_ascii_digit() || c == '.');
    let unit = digits.trim();
    digits.len() < text.len()
        && unit.chars().count() <= "minutes".len()
        && unit.chars().all(|c| c.is_alphabetic() || c == '%')
}

/// Says how the number is written.
pub(super) fn advice(path: &str, kind: &Kind) -> String {
    let name = path.rsplit('.').next().unwrap_or(path);
    format!("{name:?}: {}", kind.describe())
}

fn stem(name: &str) -> &str {
    match name.rsplit_once('_') {
        Some((stem, unit)) if UNITS.contains(&unit) => stem,
        _ => name,
    }
}
