//! Compares values with the schema.

use jsonc_parser::ast::Value;

use super::choices;
use super::field_rule::FieldRule;
use super::kind::Kind;
use super::node::MAX_ITEMS;
use super::node::Node;
use super::problem_list::ProblemList;
use super::route_path::RoutePath;
use super::unit;
use crate::document::ProblemCode;
use crate::ids::NameError;
use crate::ids::ZoneName;

/// How much of a wrong value a message repeats, in characters.
const MAX_SHOWN: usize = 40;

/// Checks a value and everything inside it.
pub(super) fn check(node: &Node<'_>, kind: &Kind, problems: &mut ProblemList<'_>) {
    match (kind, node.value()) {
        (Kind::Object(rules), Value::Object(_)) => check_object(node, rules, problems),
        (Kind::List(item, most), Value::Array(_)) => check_list(node, item, *most, problems),
        (Kind::Truth, Value::BooleanLit(_)) => {}
        (Kind::Name, Value::StringLit(text)) => check_name(node, &text.value, problems),
        (Kind::Path, Value::StringLit(text)) => {
            if RoutePath::parse(&text.value).is_none() {
                problems.add(ProblemCode::BadPath, node, shown(&text.value), "");
            }
        }
        (Kind::Choice(choices), Value::StringLit(text)) => {
            if !choices.contains(&text.value.as_ref()) {
                let (found, wanted) = (shown(&text.value), choices::list(choices));
                problems.add(ProblemCode::UnknownChoice, node, found, wanted);
            }
        }
        (kind, Value::NumberLit(number)) if kind.is_number() => {
            check_number(node, number.value, kind, problems);
        }
        (kind, Value::StringLit(text)) if kind.is_number() && unit::is_quantity(&text.value) => {
            let wanted = unit::advice(&node.path, kind);
            problems.add(ProblemCode::WrongUnit, node, shown(&text.value), wanted);
        }
        (kind, value) => {
            let found = type_name(value);
            problems.add(ProblemCode::WrongType, node, found, kind.describe());
        }
    }
}

fn check_object(node: &Node<'_>, rules: &[FieldRule], problems: &mut ProblemList<'_>) {
    if node.count() > MAX_ITEMS {
        problems.add(ProblemCode::TooMany, node, node.count(), MAX_ITEMS);
    }
    let fields = node.fields();
    for (index, (name, field)) in fields.iter().enumerate() {
        if fields[..index].iter().any(|(earlier, _)| earlier == name) {
            let field = field.at_name(node);
            problems.add(ProblemCode::RepeatedField, &field, shown(name), "");
            continue;
        }
        match rules.iter().find(|rule| rule.name == *name) {
            Some(rule) => check(field, &rule.kind, problems),
            None => report_unknown(node, name, field, rules, problems),
        }
    }
    for rule in rules.iter().filter(|rule| rule.required) {
        let is_there = fields.iter().any(|(name, _)| *name == rule.name);
        if !is_there
            && !fields
                .iter()
                .any(|(name, _)| unit::is_same(name, rule.name))
        {
            problems.add(ProblemCode::MissingField, node, shown(rule.name), "");
        }
    }
}

fn report_unknown(
    parent: &Node<'_>,
    name: &str,
    field: &Node<'_>,
    rules: &[FieldRule],
    problems: &mut ProblemList<'_>,
) {
    let field = field.at_name(parent);
    if let Some(rule) = rules.iter().find(|rule| unit::is_same(name, rule.name)) {
        problems.add(
            ProblemCode::WrongUnit,
            &field,
            shown(name),
            shown(rule.name),
        );
        return;
    }
    let known: Vec<_> = rules.iter().map(|rule| rule.name).collect();
    problems.add(
        ProblemCode::UnknownField,
        &field,
        shown(name),
        known.join(", "),
    );
}

fn check_list(node: &Node<'_>, item: &Kind, most: usize, problems: &mut ProblemList<'_>) {
    if node.count() == 0 {
        problems.add(ProblemCode::Zero, node, 0, 1);
    }
    if node.count() > most {
        problems.add(ProblemCode::TooMany, node, node.count(), most);
    }
    for value in node.items().iter().take(most) {
        check(value, item, problems);
    }
}

fn check_name(node: &Node<'_>, text: &str, problems: &mut ProblemList<'_>) {
    // Every kind of name follows the same rule.
    let parsed: Result<ZoneName, NameError> = text.parse();
    if parsed.is_err() {
        problems.add(ProblemCode::BadName, node, shown(text), "");
    }
}

fn check_number(node: &Node<'_>, text: &str, kind: &Kind, problems: &mut ProblemList<'_>) {
    let value = node.number().unwrap_or(f64::NAN);
    let (least, most) = match kind {
        Kind::Decimal(least, most) => (*least, *most),
        Kind::Whole(least, most) => (*least as f64, *most as f64),
        Kind::Count(most) => (1.0, *most as f64),
        _ => return,
    };
    if matches!(kind, Kind::Count(_)) && value == 0.0 {
        problems.add(ProblemCode::Zero, node, shown(text), 1);
        return;
    }
    if !(least..=most).contains(&value) {
        problems.add(ProblemCode::OutOfRange, node, cut(text), kind.describe());
        return;
    }
    let is_whole = text.bytes().all(|byte| byte.is_ascii_digit());
    if !matches!(kind, Kind::Decimal(..)) && !is_whole {
        problems.add(ProblemCode::NotWhole, node, cut(text), "");
    }
}

fn type_name(value: &Value<'_>) -> String {
    match value {
        Value::StringLit(text) => shown(&text.value),
        Value::NumberLit(number) => cut(number.value),
        Value::BooleanLit(truth) => truth.value.to_string(),
        Value::Object(_) => "{...}".to_owned(),
        Value::Array(_) => "[...]".to_owned(),
        Value::NullKeyword(_) => "null".to_owned(),
    }
}

fn shown(text: &str) -> String {
    format!("{:?}", cut(text))
}

fn cut(text: &str) -> String {
    match text.char_indices().nth(MAX_SHOWN) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text.to_owned(),
    }
}
