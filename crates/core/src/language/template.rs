//! Messages with places for values.

/// Puts values into a template's `{0}`, `{1}` and so on; languages order them as they need.
pub fn fill(template: &str, values: &[&str]) -> String {
    let mut text = String::with_capacity(template.len());
    let mut rest = template;
    while let Some((before, after)) = rest.split_once('{') {
        text.push_str(before);
        let (index, tail) = after.split_once('}').unwrap_or((after, ""));
        let value = index
            .parse()
            .ok()
            .and_then(|index: usize| values.get(index));
        text.push_str(value.unwrap_or(&"?"));
        rest = tail;
    }
    text.push_str(rest);
    text
}
