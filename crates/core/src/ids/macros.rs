//! Macros that define the types of names, numbers and UUIDs.

/// Defines a checked name: 1 to 63 characters of `a-z`, `0-9` and `-`, not starting or ending
/// with `-`, so that a name can stand in a path, a header and a metric unescaped.
macro_rules! name_id {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::ids::NameError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                $crate::ids::NameError::check(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = $crate::ids::NameError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.to_string()
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.pad(&self.0)
            }
        }
    };
}

/// Defines a whole number with its own type.
macro_rules! number_id {
    ($(#[$meta:meta])* $name:ident, $inner:ty) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the number that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::ids::NumberError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err($crate::ids::NumberError::from)
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                std::fmt::Display::fmt(&self.0, f)
            }
        }
    };
}

/// Defines an identifier that is a UUID.
macro_rules! uuid_id {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub uuid::Uuid);

        impl std::str::FromStr for $name {
            type Err = uuid::Error;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                std::fmt::Display::fmt(&self.0, f)
            }
        }
    };
}

pub(crate) use name_id;
pub(crate) use number_id;
pub(crate) use uuid_id;
