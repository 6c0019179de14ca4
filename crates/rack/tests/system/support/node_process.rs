//! The real program, as a process of its own.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::Value;

/// What the processes of a host have logged, one after the other.
pub type Lines = Arc<Mutex<Vec<Value>>>;

/// Writes what the programs of each host have logged into a folder of this name, and prints where.
pub fn keep_logs<'a, L>(name: &str, hosts: L)
where
    L: Iterator<Item = &'a Lines>,
{
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder).unwrap();
    for (place, lines) in hosts.enumerate() {
        let lines = lines.lock().unwrap();
        let text: Vec<String> = lines.iter().map(Value::to_string).collect();
        fs::write(folder.join(format!("node-{place}.log")), text.join("\n")).unwrap();
    }
    println!("the logs are in {}", folder.display());
}

/// Is a running program; dropped, it is killed.
pub struct NodeProcess {
    child: Child,
    /// Its output, if nobody reads that.
    unread: Option<ChildStdout>,
}

impl NodeProcess {
    /// Starts the program; what it logs is added to `lines`.
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

    /// Starts the program with a reader of its output that never reads.
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

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        let id = Pid::from_raw(i32::try_from(self.id()).unwrap()).unwrap();
        kill_process(id, signal).unwrap();
    }

    /// Tells whether it has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // It may be gone already.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}
