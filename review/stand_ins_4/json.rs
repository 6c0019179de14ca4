//! A small JSON reader for the answers to heartbeats.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let bytes: Vec<char> = text.chars().collect();
        let mut at = 0;
        value(&bytes, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Table(table) => table.get(name),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Self::Number(number) => Some(*number as u64),
            _ => None,
        }
    }
}

fn blank(text: &[char], at: &mut usize) {
    while text.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn value(text: &[char], at: &mut usize) -> Option<Json> {
    blank(text, at);
    match text.get(*at)? {
        '{' => {
            let mut table = BTreeMap::new();
            *at += 1;
            loop {
                blank(text, at);
                match text.get(*at)? {
                    '}' => break,
                    ',' => *at += 1,
                    _ => {
                        let name = string(text, at)?;
                        blank(text, at);
                        *at += 1;
                        table.insert(name, value(text, at)?);
                    }
                }
            }
            *at += 1;
            Some(Json::Table(table))
        }
        '[' => {
            let mut list = Vec::new();
            *at += 1;
            loop {
                blank(text, at);
                match text.get(*at)? {
                    ']' => break,
                    ',' => *at += 1,
                    _ => list.push(value(text, at)?),
                }
            }
            *at += 1;
            Some(Json::List(list))
        }
        '"' => string(text, at).map(Json::Text),
        _ => {
            let begin = *at;
            while text.get(*at).is_some_and(|c| !",]}".contains(*c) && !c.is_whitespace()) {
                *at += 1;
            }
            let word: String = text[begin..*at].iter().collect();
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

fn string(text: &[char], at: &mut usize) -> Option<String> {
    let mut string = String::new();
    *at += 1;
    loop {
        let c = *text.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(string),
            '\\' => {
                string.push(*text.get(*at)?);
                *at += 1;
            }
            c => string.push(c),
        }
    }
}
