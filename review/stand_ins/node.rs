//! The program under review as a child process.

use std::fs::OpenOptions;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

/// The command of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/quetzalrack-rack";
const ARGUMENTS: [&str; 2] = ["--metrics", "9464"];

/// A running process, killed when it is dropped.
pub struct Node {
    child: Child,
}

impl Node {
    pub fn start(settings: &Path, log: &PathBuf) -> io::Result<Self> {
        let log = OpenOptions::new().create(true).append(true).open(log)?;
        let child = Command::new(PROGRAM)
            .args(ARGUMENTS)
            .env("QUETZALRACK_BOOT", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { child })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
