//! The path of a route.

/// How a path names the key.
pub(super) const KEY: &str = "{key}";
/// How a path names any single segment.
const ANY: &str = "{any}";
/// The greatest length of a path, in bytes.
const MAX_LENGTH: usize = 256;

/// Is a path taken apart into its segments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RoutePath<'a> {
    segments: Vec<&'a str>,
}

impl<'a> RoutePath<'a> {
    /// Takes a path apart; none if it is not one.
    pub fn parse(text: &'a str) -> Option<Self> {
        let rest = text.strip_prefix('/')?;
        let segments: Vec<_> = rest.split('/').collect();
        let is_right = text.len() <= MAX_LENGTH
            && segments.iter().all(|segment| is_segment(segment))
            && segments.iter().filter(|segment| **segment == KEY).count() <= 1;
        is_right.then_some(Self { segments })
    }

    /// Tells whether the path has a key.
    pub fn has_key(&self) -> bool {
        self.segments.contains(&KEY)
    }

    /// Tells whether some request matches both paths.
    pub fn overlaps(&self, other: &Self) -> bool {
        self.segments.len() == other.segments.len()
            && self
                .segments
                .iter()
                .zip(&other.segments)
                .all(|(a, b)| a == b || is_variable(a) || is_variable(b))
    }
}

fn is_segment(text: &str) -> bool {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '~' | '-');
    is_variable(text) || (!text.is_empty() && text.chars().all(is_plain))
}

fn is_variable(segment: &str) -> bool {
    segment == KEY || segment == ANY
}
