//! Why there is nothing to report on.

use std::io;
use std::path::PathBuf;

use quetzalrack_operator::nodes::NodeError;

/// Says why readings or the document can't be had.
#[derive(Debug)]
#[derive(miette::Diagnostic, thiserror::Error)]
pub enum InputError {
    /// A file can't be read or written.
    #[error("the file {path} can't be used: {source}", path = path.display())]
    #[diagnostic(code(QZ1202))]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A line of the file is not a reading.
    #[error("{path}:{line}: not a reading: {source}", path = path.display())]
    #[diagnostic(code(QZ1203))]
    Line {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// Why.
        source: serde_json::Error,
    },
    /// The document has errors.
    #[error("the document {path} is refused; quetzalrack-operator check tells why", path = path.display())]
    #[diagnostic(code(QZ1204))]
    Document {
        /// The file.
        path: PathBuf,
    },
    /// No node answers.
    #[error("the node gives no answer: {0}")]
    #[diagnostic(code(QZ1205))]
    Node(#[from] NodeError),
    /// There is not one reading.
    #[error("there is no reading with any request")]
    #[diagnostic(code(QZ1206))]
    Nothing,
}
