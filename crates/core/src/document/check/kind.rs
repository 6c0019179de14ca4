//! What a field's value may be.

use super::field_rule::FieldRule;

/// Is the type of a value, with its bounds.
#[derive(Clone, Copy)]
pub(super) enum Kind {
    /// A name.
    Name,
    /// The path of a route.
    Path,
    /// `true` or `false`.
    Truth,
    /// One of a few texts.
    Choice(&'static [&'static str]),
    /// A whole number, within bounds.
    Whole(u64, u64),
    /// A whole number of at least one.
    Count(u64),
    /// Any number within bounds.
    Decimal(f64, f64),
    /// An object.
    Object(&'static [FieldRule]),
    /// A list of at least one and at most so many.
    List(&'static Kind, usize),
}

impl Kind {
    /// Describes the kind in words that need no translation.
    pub fn describe(self) -> String {
        match self {
            Self::Name => "\"name\"".to_owned(),
            Self::Path => "\"/path/{key}\"".to_owned(),
            Self::Truth => "true, false".to_owned(),
            Self::Choice(choices) => super::choices::list(choices),
            Self::Whole(least, most) => format!("{least}..{most}"),
            Self::Count(most) => format!("1..{most}"),
            Self::Decimal(least, most) => format!("{least:?}..{most:?}"),
            Self::Object(_) => "{...}".to_owned(),
            Self::List(..) => "[...]".to_owned(),
        }
    }

    /// Tells whether the value is a number.
    pub fn is_number(self) -> bool {
        matches!(self, Self::Whole(..) | Self::Count(_) | Self::Decimal(..))
    }
}
