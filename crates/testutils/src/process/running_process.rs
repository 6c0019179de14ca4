//! A process that we started.

use std::ffi::OsStr;
use std::fs::OpenOptions;
use std::io;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::task::spawn_blocking;

use super::ProcessError;
use super::ProcessOutput;
use super::ProcessUsage;
use super::Program;

/// How long a process may take until it listens; generous, since many start at once.
const START_PATIENCE: Duration = Duration::from_secs(30);
/// How often an ending process is looked at.
const POLL: Duration = Duration::from_millis(5);
/// How many of its last lines an error quotes.
const QUOTED_LINES: usize = 20;

/// Is a running process of ours; dropping it kills it, so that a failed test leaves none behind.
#[derive(Debug)]
pub struct RunningProcess {
    program: Program,
    child: Child,
    output: Arc<ProcessOutput>,
}

impl RunningProcess {
    /// Starts a binary; `log` names a file to which its output is also written.
    pub fn spawn<I, S>(
        program: Program,
        arguments: I,
        log: Option<&Path>,
    ) -> Result<Self, ProcessError>
    where
        I: IntoIterator<Item = S>,
        S: AsRef<OsStr>,
    {
        let failed = |source: io::Error| ProcessError::NotStarted {
            program: program.name(),
            source,
        };
        let mut child = Command::new(program.path()?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(failed)?;
        let output = Arc::new(ProcessOutput::default());
        let open = || {
            log.map(|path| OpenOptions::new().create(true).append(true).open(path))
                .transpose()
                .map_err(failed)
        };
        if let Some(pipe) = child.stdout.take() {
            output.follow(pipe, open()?);
        }
        if let Some(pipe) = child.stderr.take() {
            output.follow(pipe, open()?);
        }
        Ok(Self {
            program,
            child,
            output,
        })
    }

    /// Waits until the process says where it listens.
    pub fn listening<L>(&self) -> Result<L, ProcessError>
    where
        L: DeserializeOwned,
    {
        self.read_line(self.output.wait_for_listening(START_PATIENCE))
    }

    fn read_line<L>(&self, line: Option<Value>) -> Result<L, ProcessError>
    where
        L: DeserializeOwned,
    {
        line.and_then(|line| serde_json::from_value(line).ok())
            .ok_or_else(|| ProcessError::NotListening {
                program: self.program.name(),
                said: self.output.last_lines(QUOTED_LINES),
            })
    }

    /// Waits like `listening` without holding up the caller's other tasks, the fault proxy's among
    /// them.
    pub async fn listening_async<L>(&self) -> Result<L, ProcessError>
    where
        L: DeserializeOwned,
    {
        let output = Arc::clone(&self.output);
        let heard = spawn_blocking(move || output.wait_for_listening(START_PATIENCE));
        // The waiting thread does not panic; were it to, there would be no line either.
        self.read_line(heard.await.ok().flatten())
    }

    /// Returns the process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the last lines of its output.
    pub fn last_lines(&self, count: usize) -> String {
        self.output.last_lines(count)
    }

    /// Returns what it has used so far; none once it is gone.
    pub fn usage(&self) -> Option<ProcessUsage> {
        ProcessUsage::read(self.id())
    }

    /// Tells whether it has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Kills it and waits until it is gone.
    pub fn kill(&mut self) -> Result<(), ProcessError> {
        self.child.kill().map_err(ProcessError::NotSignalled)?;
        self.child.wait().map_err(ProcessError::NotSignalled)?;
        Ok(())
    }

    /// Stops it without its knowledge, as a long pause of the host would.
    pub fn freeze(&self) -> Result<(), ProcessError> {
        self.signal(Signal::STOP)
    }

    /// Lets it go on.
    pub fn thaw(&self) -> Result<(), ProcessError> {
        self.signal(Signal::CONT)
    }

    /// Asks it to leave.
    pub fn terminate(&self) -> Result<(), ProcessError> {
        self.signal(Signal::TERM)
    }

    /// Waits until it has gone, or returns none when it has not within `patience`.
    pub fn wait_for_exit(
        &mut self,
        patience: Duration,
    ) -> Result<Option<ExitStatus>, ProcessError> {
        let until = Instant::now() + patience;
        loop {
            let status = self.child.try_wait().map_err(ProcessError::NotSignalled)?;
            if status.is_some() {
                // A child of the process could hold its pipes open, so the end of the output is
                // waited for only as long as the exit.
                self.output
                    .wait_for_end(until.saturating_duration_since(Instant::now()));
                return Ok(status);
            }
            if Instant::now() >= until {
                return Ok(None);
            }
            std::thread::sleep(POLL);
        }
    }

    fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let id = i32::try_from(self.id()).ok().and_then(Pid::from_raw);
        let id = id.ok_or_else(|| ProcessError::NotSignalled(io::ErrorKind::NotFound.into()))?;
        kill_process(id, signal).map_err(|error| ProcessError::NotSignalled(error.into()))
    }
}

impl Drop for RunningProcess {
    fn drop(&mut self) {
        // It may be gone already.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}
