//! A backend server that answers with bytes that have no end.

mod endless_server;

pub use endless_server::EndlessBytes;
pub use endless_server::EndlessServer;
