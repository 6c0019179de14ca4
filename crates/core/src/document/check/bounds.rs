//! Bounds on a document's text, kept before any parser sees it.

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Value;
use serde::de::IgnoredAny;

use super::problem_list::ProblemList;
use crate::document::ProblemCode;

/// The greatest document, in bytes.
pub const MAX_BYTES: usize = 256 * 1024;
/// How deep lists and objects may be nested; the schema needs six.
pub const MAX_DEPTH: usize = 16;

/// Returns the text unless it is empty, too large, too deep or not UTF-8.
///
/// Parsers of nested text recurse; without the bound on depth a document of `[` alone would
/// overflow the stack and stop the process.
pub(super) fn check<'a>(bytes: &'a [u8], problems: &mut ProblemList<'_>) -> Option<&'a str> {
    if bytes.len() > MAX_BYTES {
        let found = bytes.len().to_string();
        problems.add_at(
            ProblemCode::TooLarge,
            MAX_BYTES,
            found,
            MAX_BYTES.to_string(),
        );
        return None;
    }
    if bytes.iter().all(u8::is_ascii_whitespace) {
        problems.add_at(ProblemCode::Empty, 0, String::new(), String::new());
        return None;
    }
    let text = match std::str::from_utf8(bytes) {
        Ok(text) => text,
        Err(error) => {
            let offset = error.valid_up_to();
            let found = format!("0x{:02x}", bytes[offset]);
            problems.add_at(ProblemCode::NotUtf8, offset, found, String::new());
            return None;
        }
    };
    if let Some(offset) = first_too_deep(bytes) {
        problems.add_at(
            ProblemCode::TooDeep,
            offset,
            String::new(),
            MAX_DEPTH.to_string(),
        );
        return None;
    }
    Some(text)
}

/// Reads the text into a tree; strict JSON only, because the log's other readers know no other.
pub(super) fn parse<'a>(text: &'a str, problems: &mut ProblemList<'_>) -> Option<Value<'a>> {
    if let Err(error) = serde_json::from_str::<IgnoredAny>(text) {
        let offset = offset_of(text, error.line(), error.column());
        problems.add_at(
            ProblemCode::Syntax,
            offset,
            without_place(&error),
            String::new(),
        );
        return None;
    }
    let parsed =
        jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
    match parsed {
        Ok(parsed) => parsed.value,
        Err(error) => {
            problems.add_at(ProblemCode::Syntax, 0, error.to_string(), String::new());
            None
        }
    }
}

/// Leaves out the place that the parser's message ends with; the problem carries its own.
fn without_place(error: &serde_json::Error) -> String {
    let message = error.to_string();
    match message.rsplit_once(" at line ") {
        Some((text, _)) => text.to_owned(),
        None => message,
    }
}

fn first_too_deep(bytes: &[u8]) -> Option<usize> {
    let mut depth = 0usize;
    let mut in_text = false;
    let mut escaped = false;
    for (offset, byte) in bytes.iter().enumerate() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_text => escaped = true,
            b'"' => in_text = !in_text,
            b'[' | b'{' if !in_text => {
                depth += 1;
                if depth > MAX_DEPTH {
                    return Some(offset);
                }
            }
            b']' | b'}' if !in_text => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    None
}

/// Finds the byte at a line and column as the parser counts them, in bytes from 1.
fn offset_of(text: &str, line: usize, column: usize) -> usize {
    let before: usize = text
        .split_inclusive('\n')
        .take(line.saturating_sub(1))
        .map(str::len)
        .sum();
    let offset = (before + column.saturating_sub(1)).min(text.len());
    (0..=offset)
        .rev()
        .find(|at| text.is_char_boundary(*at))
        .unwrap_or(0)
}
