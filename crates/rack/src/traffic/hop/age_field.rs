//! How old the process is that responds, as a field of a header. Processes of earlier versions ignore it.

use std::time::Duration;

/// What distinguishes the field from others.
const PREFIX: &str = "age=";

/// Encodes the field with the space before it; nothing if the process runs for long.
pub(super) fn encode(age: Option<Duration>) -> String {
    let age = age.map(|age| format!(" {PREFIX}{}", age.as_millis()));
    age.unwrap_or_default()
}

/// Decodes the field; none if it is another one or malformed.
pub(super) fn decode(field: &str) -> Option<Duration> {
    let millis = field.strip_prefix(PREFIX)?.parse().ok()?;
    Some(Duration::from_millis(millis))
}
