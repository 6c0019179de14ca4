//! Reading and parsing of a settings file.

use std::fs::File;
use std::io::Read;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use miette::NamedSource;
use miette::SourceSpan;
use serde_json::error::Category;

use super::NodeSettings;
use super::SettingsError;
use super::check_settings::check_settings;
use super::mask_secrets::mask_secrets;

/// Maximum size of a settings file in bytes; a usual one has a few hundred.
const MAX_FILE_BYTES: u64 = 64 * 1024;

/// Reads and checks a settings file.
pub fn read_settings(path: &Path) -> Result<NodeSettings, SettingsError> {
    let bytes = read_bounded(path)?;
    let text = String::from_utf8(bytes).map_err(|error| SettingsError::NotUtf8 {
        path: path.to_owned(),
        offset: error.utf8_error().valid_up_to(),
    })?;
    if text.trim().is_empty() {
        return Err(SettingsError::Empty {
            path: path.to_owned(),
        });
    }
    parse_settings(&path.display().to_string(), &text)
}

/// Parses and checks settings; error messages show `name` as the name of the file.
pub fn parse_settings(name: &str, text: &str) -> Result<NodeSettings, SettingsError> {
    let masked = mask_secrets(text);
    let settings = serde_json::from_str::<NodeSettings>(text)
        .map_err(|error| explain_parse_error(name, &masked, &error))?;
    check_settings(name, &masked, &settings)?;
    Ok(settings)
}

fn read_bounded(path: &Path) -> Result<Vec<u8>, SettingsError> {
    let unreadable = |source| SettingsError::Unreadable {
        path: PathBuf::from(path),
        source,
    };
    let file = File::open(path).map_err(unreadable)?;
    let mut bytes = Vec::new();
    file.take(MAX_FILE_BYTES + 1)
        .read_to_end(&mut bytes)
        .map_err(unreadable)?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(SettingsError::TooLarge {
            path: path.to_owned(),
            limit: MAX_FILE_BYTES,
        });
    }
    Ok(bytes)
}

fn explain_parse_error(name: &str, text: &str, error: &serde_json::Error) -> SettingsError {
    let at = span_of(text, error.line(), error.column());
    let reason = strip_location(&error.to_string());
    let text = Arc::new(NamedSource::new(name, text.to_owned()));
    if error.classify() != Category::Data {
        return SettingsError::Syntax { text, at, reason };
    }
    if reason.starts_with("unknown field") {
        return SettingsError::UnknownField { text, at, reason };
    }
    if reason.starts_with("missing field") {
        return SettingsError::MissingField { text, at, reason };
    }
    if reason.starts_with("invalid type") {
        return SettingsError::WrongType { text, at, reason };
    }
    SettingsError::WrongValue { text, at, reason }
}

/// Converts the parser's line and column, both counted from one, to a span of one byte.
fn span_of(text: &str, line: usize, column: usize) -> SourceSpan {
    let start: usize = text
        .split_inclusive('\n')
        .take(line.saturating_sub(1))
        .map(str::len)
        .sum();
    let offset = (start + column.saturating_sub(1)).min(text.len().saturating_sub(1));
    SourceSpan::from((offset, 1))
}

/// Removes the line and column from the parser's message, because the report marks them in the text.
fn strip_location(message: &str) -> String {
    match message.rfind(" at line ") {
        Some(end) => message[..end].to_owned(),
        None => message.to_owned(),
    }
}
