//! What nodes remember, line by line.

use serde_json::Map;
use serde_json::Value;

/// Writes a happening as its event and fields, which need no translation.
pub(super) fn memory_text(happening: &Value) -> String {
    let Value::Object(fields) = happening else {
        return happening.to_string();
    };
    let event = fields.get("event").and_then(Value::as_str).unwrap_or("?");
    let others = fields.iter().filter(|(name, _)| *name != "event");
    let words = others.map(|(name, value)| format!("{name}={}", value_text(value)));
    let words: Vec<_> = [event.to_owned()].into_iter().chain(words).collect();
    words.join(" ")
}

/// Writes slices and fences as everywhere else, and other objects as JSON.
fn value_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Object(fields) => slice_text(fields)
            .or_else(|| fence_text(fields))
            .unwrap_or_else(|| value.to_string()),
        _ => value.to_string(),
    }
}

fn slice_text(fields: &Map<String, Value>) -> Option<String> {
    let service = fields.get("service")?.as_str()?;
    let index = fields.get("index")?.as_u64()?;
    Some(format!("{service}/{index}"))
}

fn fence_text(fields: &Map<String, Value>) -> Option<String> {
    let part = |name| fields.get(name).and_then(Value::as_u64);
    let (term, rank, sequence) = (part("term")?, part("rank")?, part("sequence")?);
    Some(format!("{term}.{rank}.{sequence}"))
}
