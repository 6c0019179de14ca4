//! A document as one line a value.

use std::collections::BTreeMap;

use serde_json::Value;

/// Lists every value under its path; items that have a name go by it, so that a moved service or
/// route is not a difference.
pub(super) fn flatten(value: &Value) -> BTreeMap<String, String> {
    let mut lines = BTreeMap::new();
    add(String::new(), value, &mut lines);
    lines
}

fn add(path: String, value: &Value, lines: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let separator = if path.is_empty() { "" } else { "." };
                add(format!("{path}{separator}{name}"), field, lines);
            }
        }
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                let name = match item {
                    Value::String(text) => text.clone(),
                    _ => item
                        .get("name")
                        .and_then(Value::as_str)
                        .map_or_else(|| index.to_string(), str::to_owned),
                };
                add(format!("{path}[{name}]"), item, lines);
            }
        }
        _ => {
            lines.insert(path, value.to_string());
        }
    }
}
