//! The line by which a stand-in says where it listens.

use std::io::Write;
use std::io::stdout;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Is the one line on standard output, printed once the port takes connections; the port is
/// chosen by the host, so whoever started the process reads it here.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ListeningLine {
    /// Always `listening`.
    pub event: String,
    /// Where the process listens.
    pub address: SocketAddr,
}

impl ListeningLine {
    /// Makes the line for an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            event: String::from("listening"),
            address,
        }
    }

    /// Prints the line.
    pub fn print(&self) {
        if let Ok(line) = serde_json::to_string(self) {
            // Whoever closed the pipe does not want to read it.
            writeln!(stdout(), "{line}").ok();
        }
    }
}
