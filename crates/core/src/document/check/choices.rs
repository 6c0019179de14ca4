//! Lists of texts in messages.

/// Writes texts as a list that reads the same in every language.
pub(super) fn list(texts: &[&str]) -> String {
    let quoted: Vec<_> = texts.iter().map(|text| format!("{text:?}")).collect();
    quoted.join(", ")
}
