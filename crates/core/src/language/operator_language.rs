//! A language of operators.

use std::fmt;
use std::str::FromStr;

use super::ParseLanguageError;

/// Is a language in which messages exist; codes and numbers are the same in all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Language {
    /// English, also where the locale names a language that has no messages.
    #[default]
    English,
    /// Spanish.
    Spanish,
    /// Nepali.
    Nepali,
}

impl Language {
    /// Every language.
    pub const ALL: [Self; 3] = [Self::English, Self::Spanish, Self::Nepali];

    /// Chooses the language that a locale such as `es_CO.UTF-8` names.
    pub fn from_locale(locale: &str) -> Self {
        let tag = locale.split(['_', '-', '.', '@']).next();
        tag.and_then(|tag| tag.parse().ok()).unwrap_or_default()
    }
}

impl fmt::Display for Language {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::English => "en",
            Self::Spanish => "es",
            Self::Nepali => "ne",
        })
    }
}

impl FromStr for Language {
    type Err = ParseLanguageError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "en" => Ok(Self::English),
            "es" => Ok(Self::Spanish),
            "ne" => Ok(Self::Nepali),
            _ => Err(ParseLanguageError),
        }
    }
}
