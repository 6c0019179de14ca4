//! Why a report can't be shown.

/// Says why a report can't be shown.
#[derive(Debug)]
#[derive(miette::Diagnostic, thiserror::Error)]
pub enum OutputError {
    /// A plot can't be drawn.
    #[error("a plot can't be drawn: {0}")]
    #[diagnostic(code(QZ1201))]
    Plot(String),
}
