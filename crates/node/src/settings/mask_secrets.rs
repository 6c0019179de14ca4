//! Masking of secrets in error reports.

const SECRET_FIELD: &str = "\"secret\"";

/// Replaces each secret by the same number of asterisks, so that positions in the text don't change.
///
/// A report quotes the lines around an error; unmasked, it could put a secret into a terminal's
/// history or a log. This works on the raw text because the error may be in the JSON syntax itself.
pub(super) fn mask_secrets(text: &str) -> String {
    let mut masked = String::with_capacity(text.len());
    let mut rest = text;
    while let Some(found) = rest.find(SECRET_FIELD) {
        let (before, after) = rest.split_at(found + SECRET_FIELD.len());
        masked.push_str(before);
        let start = after.find('"').map_or(after.len(), |quote| quote + 1);
        let length = after[start..].find(['"', '\n']);
        let end = length.map_or(after.len(), |length| start + length);
        masked.push_str(&after[..start]);
        masked.push_str(&"*".repeat(end - start));
        rest = &after[end..];
    }
    masked.push_str(rest);
    masked
}
