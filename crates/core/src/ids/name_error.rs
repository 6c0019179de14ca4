//! Why a text is not a name.

/// Why a text is not a valid name; a name has 1 to 63 characters of `a-z`, `0-9` and inner `-`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum NameError {
    /// The name has no characters.
    #[error("a name must not be empty")]
    Empty,
    /// The name is longer than [`NameError::MAX_LENGTH`] characters.
    #[error("a name has at most {max} characters, this one has {0}", max = NameError::MAX_LENGTH)]
    TooLong(usize),
    /// The name holds a character other than `a-z`, `0-9` and `-`.
    #[error("a name has only a-z, 0-9 and -, not {0:?}")]
    Character(char),
    /// The name starts or ends with `-`.
    #[error("a name must not start or end with -")]
    Hyphen,
}

impl NameError {
    /// The greatest length of a name, in characters; that of a label in the domain name system.
    pub const MAX_LENGTH: usize = 63;

    pub(super) fn check(text: &str) -> Result<(), Self> {
        if text.is_empty() {
            return Err(Self::Empty);
        }
        if text.len() > Self::MAX_LENGTH {
            return Err(Self::TooLong(text.chars().count()));
        }
        if let Some(c) = text
            .chars()
            .find(|c| !matches!(c, 'a'..='z' | '0'..='9' | '-'))
        {
            return Err(Self::Character(c));
        }
        if text.starts_with('-') || text.ends_with('-') {
            return Err(Self::Hyphen);
        }
        Ok(())
    }
}
