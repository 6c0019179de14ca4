//! What becomes of a request on arrival.

/// Is the server's decision on a request before it works on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A slot was free; the work begins.
    Begun {
        /// By how much the work is slower than usual.
        slowness: u32,
    },
    /// No slot is free; ask again when one is.
    Waits,
    /// Too many wait, or the server was told to shed; the work surely does not run.
    Shed,
}
