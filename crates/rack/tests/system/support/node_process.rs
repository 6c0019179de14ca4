//! The router as a child process.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::Value;

/// How often a process is looked at that is to stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Lines logged by the successive processes of a host.
pub type Lines = Arc<Mutex<Vec<Value>>>;

/// Writes the logs of each host into a temporary folder of this name and prints its path.
pub fn keep_logs<'a, L>(name: &str, hosts: L)
where
    L: Iterator<Item = &'a Lines>,
{
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder).unwrap();
    for (index, lines) in hosts.enumerate() {
        let lines = lines.lock().unwrap();
        let text: Vec<String> = lines.iter().map(Value::to_string).collect();
        fs::write(folder.join(format!("node-{index}.log")), text.join("\n")).unwrap();
    }
    println!("the logs are in {}", folder.display());
}

/// A running router process, killed on drop.
pub struct NodeProcess {
    child: Child,
    /// Standard output, if it is not being read.
    unread: Option<ChildStdout>,
}

impl NodeProcess {
    /// Starts the router and appends what it logs to `lines`.
    pub fn spawn(settings: &Path, arguments: &[String], lines: &Lines) -> Self {
        let mut process = Self::spawn_unread(settings, arguments);
        let lines = Arc::clone(lines);
        let out = process.unread.take().unwrap();
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                let line = serde_json::from_str(&line).ok();
                lines.lock().unwrap().extend(line);
            }
        });
        process
    }

    /// Starts the router with an output pipe that is never read.
    pub fn spawn_unread(settings: &Path, arguments: &[String]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_quetzalrack-rack"))
            .env("QUETZALRACK_BOOT", settings)
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let unread = child.stdout.take();
        Self { child, unread }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) {
        let id = Pid::from_raw(i32::try_from(self.id()).unwrap()).unwrap();
        kill_process(id, signal).unwrap();
    }

    /// Stops the process and waits until none of its threads runs: until its main thread has been scheduled to take
    /// the signal, the others go on and accept connections.
    pub fn stop(&self) {
        self.signal(Signal::STOP);
        while !self.is_stopped() {
            thread::sleep(STOP_POLL_INTERVAL);
        }
    }

    fn is_stopped(&self) -> bool {
        let threads = fs::read_dir(format!("/proc/{}/task", self.id())).unwrap();
        threads.flatten().all(|entry| {
            // The state follows the name, which is in parentheses; a thread that has just ended has none.
            let stat = fs::read_to_string(entry.path().join("stat")).unwrap_or_default();
            let state = stat.rsplit(") ").next();
            state.is_none_or(|state| state.starts_with('T') || state.is_empty())
        })
    }

    /// Returns the largest memory that the process has used, in bytes.
    pub fn peak_memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kibibytes = peak.and_then(|text| text.split_whitespace().next());
        kibibytes.unwrap().parse::<u64>().unwrap() * 1_024
    }

    /// Returns how many descriptors the process has open, and how many of them are sockets and pipes.
    pub fn descriptors(&self) -> (usize, usize) {
        count_descriptors(self.id())
    }

    /// Returns whether the process was ended by a signal that it does not handle.
    pub fn has_ended_by(&mut self, signal: Signal) -> bool {
        let status = self.child.try_wait().unwrap();
        let by = status.and_then(|status| status.signal());
        by == Some(signal.as_raw())
    }

    /// Returns whether the process has exited by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }
}

/// Returns how many descriptors a process has open, and how many of them are sockets and pipes.
pub fn count_descriptors(process: u32) -> (usize, usize) {
    let Ok(entries) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return (0, 0);
    };
    let mut counts = (0, 0);
    for entry in entries.flatten() {
        // It may have been closed since.
        let target = fs::read_link(entry.path()).unwrap_or_default();
        let target = target.to_string_lossy();
        counts.0 += 1;
        counts.1 += usize::from(target.starts_with("socket:") || target.starts_with("pipe:"));
    }
    counts
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}
