//! Reasons that operators type.

use quetzalrack_core::intent::OrderBody;

/// Accepts a reason that every reader of the log will accept: some text, and not too much.
pub(super) fn reason(text: &str) -> Result<String, String> {
    let text = text.trim();
    match text.len() {
        0 => Err("a reason is needed: others will read it".to_owned()),
        length if length > OrderBody::MAX_WHY => {
            Err(format!("a reason has at most {} bytes", OrderBody::MAX_WHY))
        }
        _ => Ok(text.to_owned()),
    }
}
