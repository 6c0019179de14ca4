//! Why a running node stopped by itself.

/// Why a node stopped without a shutdown request.
#[derive(Debug)]
#[derive(thiserror::Error, miette::Diagnostic)]
pub enum RunError {
    /// The control thread exited because of a violated invariant. Without it all leases lapse, so
    /// the process exits too, to be replaced by a new one.
    #[error("the control thread exited unexpectedly")]
    #[diagnostic(code(node::control_ended))]
    ControlEnded,
}
