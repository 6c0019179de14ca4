//! A value of the document with its place.

use jsonc_parser::ast::ObjectProp;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;

/// How many fields or items of one value are looked at; more are reported by their count, so that
/// comparing each with each stays cheap.
pub(super) const MAX_ITEMS: usize = 256;

/// Is one value, with the path by which messages name it.
#[derive(Clone)]
pub(super) struct Node<'a> {
    pub path: String,
    value: &'a Value<'a>,
    /// The field's own name, where the problem is about the field.
    name: Option<(usize, usize)>,
}

impl<'a> Node<'a> {
    pub fn root(value: &'a Value<'a>) -> Self {
        Self {
            path: String::new(),
            value,
            name: None,
        }
    }

    pub fn value(&self) -> &'a Value<'a> {
        self.value
    }

    pub fn span(&self) -> (usize, usize) {
        let range = self.value.range();
        self.name.unwrap_or((range.start, range.end))
    }

    /// Returns the object's fields in their order.
    pub fn fields(&self) -> Vec<(&'a str, Node<'a>)> {
        let Value::Object(object) = self.value else {
            return Vec::new();
        };
        let fields = object.properties.iter().take(MAX_ITEMS);
        fields
            .map(|field| (field.name.as_str(), self.child(field)))
            .collect()
    }

    pub fn field(&self, name: &str) -> Option<Node<'a>> {
        let Value::Object(object) = self.value else {
            return None;
        };
        let mut fields = object.properties.iter();
        let field = fields.find(|field| field.name.as_str() == name)?;
        Some(self.child(field))
    }

    /// Counts the fields of an object or the items of a list.
    pub fn count(&self) -> usize {
        match self.value {
            Value::Object(object) => object.properties.len(),
            Value::Array(list) => list.elements.len(),
            _ => 0,
        }
    }

    /// Returns the list's items in their order.
    pub fn items(&self) -> Vec<Node<'a>> {
        let Value::Array(list) = self.value else {
            return Vec::new();
        };
        let items = list.elements.iter().enumerate().take(MAX_ITEMS);
        items
            .map(|(index, value)| Node {
                path: format!("{}[{index}]", self.path),
                value,
                name: None,
            })
            .collect()
    }

    /// Returns the same field with the place of its name in place of its value.
    pub fn at_name(&self, parent: &Node<'a>) -> Node<'a> {
        let mut node = self.clone();
        if let Value::Object(object) = parent.value {
            let own = self.value.range();
            let mut fields = object.properties.iter();
            let field = fields.find(|field| field.value.range() == own);
            node.name = field.map(|field| {
                let range = field.name.range();
                (range.start, range.end)
            });
        }
        node
    }

    pub fn text(&self) -> Option<&'a str> {
        match self.value {
            Value::StringLit(text) => Some(&text.value),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self.value {
            Value::NumberLit(number) => number.value.parse().ok(),
            _ => None,
        }
    }

    pub fn truth(&self) -> Option<bool> {
        match self.value {
            Value::BooleanLit(truth) => Some(truth.value),
            _ => None,
        }
    }

    /// Reads the text of a field.
    pub fn text_of(&self, name: &str) -> Option<&'a str> {
        self.field(name)?.text()
    }

    /// Reads a number of a field, or its default where the field is absent.
    pub fn number_or(&self, name: &str, default: f64) -> Option<f64> {
        match self.field(name) {
            Some(field) => field.number(),
            None => Some(default),
        }
    }

    fn child(&self, field: &'a ObjectProp<'a>) -> Node<'a> {
        let name = field.name.as_str();
        let path = match self.path.is_empty() {
            true => name.to_owned(),
            false => format!("{}.{name}", self.path),
        };
        Node {
            path,
            value: &field.value,
            name: None,
        }
    }
}
