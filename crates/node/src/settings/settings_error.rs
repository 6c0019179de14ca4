//! What can be wrong with a settings file.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;

use miette::NamedSource;
use miette::SourceSpan;

/// An error in a settings file and its location. Each kind has its own code, which stays the same
/// between releases, so that scripts can distinguish the kinds.
#[derive(Debug)]
#[derive(thiserror::Error, miette::Diagnostic)]
pub enum SettingsError {
    /// The file can't be opened or read.
    #[error("the settings file {} can't be read", path.display())]
    #[diagnostic(code(settings::unreadable))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file is larger than the limit.
    #[error("the settings file {} is larger than {limit} bytes", path.display())]
    #[diagnostic(code(settings::too_large))]
    TooLarge {
        /// The file.
        path: PathBuf,
        /// The maximum size in bytes.
        limit: u64,
    },
    /// The file is not UTF-8 text.
    #[error("the settings file {} is not UTF-8 text: invalid byte at offset {offset}", path.display())]
    #[diagnostic(code(settings::not_utf8))]
    NotUtf8 {
        /// The file.
        path: PathBuf,
        /// The offset of the first invalid byte, counted from zero.
        offset: usize,
    },
    /// The file has no content.
    #[error("the settings file {} is empty", path.display())]
    #[diagnostic(code(settings::empty))]
    Empty {
        /// The file.
        path: PathBuf,
    },
    /// The text is not valid JSON.
    #[error("the settings are not valid JSON: {reason}")]
    #[diagnostic(code(settings::syntax))]
    Syntax {
        /// The text.
        #[source_code]
        text: Arc<NamedSource<String>>,
        /// The location.
        #[label("here")]
        at: SourceSpan,
        /// The parser's message.
        reason: String,
    },
    /// A field is unknown.
    #[error("{reason}")]
    #[diagnostic(code(settings::unknown_field))]
    UnknownField {
        /// The text.
        #[source_code]
        text: Arc<NamedSource<String>>,
        /// The location.
        #[label("here")]
        at: SourceSpan,
        /// The parser's message.
        reason: String,
    },
    /// A required field is missing.
    #[error("{reason}")]
    #[diagnostic(code(settings::missing_field))]
    MissingField {
        /// The text.
        #[source_code]
        text: Arc<NamedSource<String>>,
        /// The location.
        #[label("in this object")]
        at: SourceSpan,
        /// The parser's message.
        reason: String,
    },
    /// A value has the wrong JSON type.
    #[error("{reason}")]
    #[diagnostic(code(settings::wrong_type))]
    WrongType {
        /// The text.
        #[source_code]
        text: Arc<NamedSource<String>>,
        /// The location.
        #[label("here")]
        at: SourceSpan,
        /// The parser's message.
        reason: String,
    },
    /// A value has the right type but is not allowed.
    #[error("{reason}")]
    #[diagnostic(code(settings::wrong_value))]
    WrongValue {
        /// The text.
        #[source_code]
        text: Arc<NamedSource<String>>,
        /// The location.
        #[label("here")]
        at: SourceSpan,
        /// What is wrong with it.
        reason: String,
    },
    /// The log service's address is invalid.
    #[error("the log service's address must have the form http://IP:PORT")]
    #[diagnostic(code(settings::log_address))]
    LogAddress {
        /// The text.
        #[source_code]
        text: Arc<NamedSource<String>>,
        /// The location.
        #[label("here")]
        at: SourceSpan,
    },
    /// A list of keys is empty, so that no sender could be authenticated.
    #[error("{field} must contain at least one key")]
    #[diagnostic(code(settings::no_key))]
    NoKey {
        /// The text.
        #[source_code]
        text: Arc<NamedSource<String>>,
        /// The location.
        #[label("here")]
        at: SourceSpan,
        /// The list.
        field: &'static str,
    },
    /// A secret is too short or not hexadecimal.
    #[error("a secret must have an even number of hexadecimal digits, at least 32")]
    #[diagnostic(code(settings::weak_key))]
    WeakKey {
        /// The text.
        #[source_code]
        text: Arc<NamedSource<String>>,
        /// The location; the label marks the key's id, never the secret.
        #[label("the secret of this key")]
        at: SourceSpan,
    },
    /// Two keys in one list have the same id.
    #[error("the key id {id} occurs twice in {field}")]
    #[diagnostic(code(settings::duplicate_key))]
    DuplicateKey {
        /// The text.
        #[source_code]
        text: Arc<NamedSource<String>>,
        /// The location.
        #[label("this one")]
        at: SourceSpan,
        /// The list.
        field: &'static str,
        /// The id.
        id: String,
    },
    /// Two TCP servers of the node are configured with the same port.
    #[error("the port {port} is used by two servers of the node")]
    #[diagnostic(code(settings::duplicate_port))]
    DuplicatePort {
        /// The text.
        #[source_code]
        text: Arc<NamedSource<String>>,
        /// The location.
        #[label("here")]
        at: SourceSpan,
        /// The port.
        port: u16,
    },
}
