//! Location of a field in the settings' text.

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::parse_to_ast;
use miette::SourceSpan;

/// Returns the span of the value at a path of names and indices, such as `["node_keys", "0", "id"]`,
/// or of the nearest enclosing value if there is none at the path.
pub(super) fn locate_field(text: &str, path: &[&str]) -> SourceSpan {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
    let Some(root) = parsed.ok().and_then(|parsed| parsed.value) else {
        return SourceSpan::from((0, 0));
    };
    let mut here = &root;
    for step in path {
        let Some(next) = child_of(here, step) else {
            break;
        };
        here = next;
    }
    let range = here.range();
    SourceSpan::from((range.start, range.end.saturating_sub(range.start)))
}

fn child_of<'a, 'b>(value: &'a Value<'b>, step: &str) -> Option<&'a Value<'b>> {
    match value {
        Value::Object(object) => object.get(step).map(|property| &property.value),
        Value::Array(array) => array.elements.get(step.parse::<usize>().ok()?),
        _ => None,
    }
}
