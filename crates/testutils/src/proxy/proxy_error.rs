//! Why a proxy can't run.

use std::io;

/// Says what went wrong with a proxy.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ProxyError {
    /// No port could be had.
    #[error("the proxy can't listen")]
    NotBound(#[source] io::Error),
}
