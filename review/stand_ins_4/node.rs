//! A process of the router, started with the command of the deploy file.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::{exchange, message};
use crate::record::Record;

pub struct Node {
    pub name: String,
    pub clients: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    record: Record,
    child: Option<Child>,
    /// When its present process was started.
    pub started: Instant,
}

impl Node {
    pub fn new(name: &str, ports: [SocketAddr; 2], settings: PathBuf, log: PathBuf, record: &Record) -> Self {
        let [clients, ready] = ports;
        Self {
            name: name.to_owned(),
            clients,
            ready,
            settings,
            log,
            record: record.clone(),
            child: None,
            started: Instant::now(),
        }
    }

    /// Starts the process with the command of the deploy file, in the root of the repository.
    pub fn start(&mut self) {
        let deploy = fs::read_to_string("deploy/system.toml").unwrap();
        let line = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).unwrap();
        let mut words = line.trim_end_matches('"').split(' ');
        let mut command = Command::new(words.next().unwrap());
        command.args(words).env_clear().env("QUETZALRACK_BOOT", &self.settings);
        for name in ["PATH", "HOME", "LANG"] {
            std::env::var(name).map(|value| command.env(name, value)).ok();
        }
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        command.stdin(Stdio::null()).stderr(log.try_clone().unwrap()).stdout(log);
        self.child = Some(command.spawn().unwrap());
        self.started = Instant::now();
        self.record.note(format!("process of {} starts", self.name));
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
            self.record.note(format!("process of {} is killed", self.name));
        }
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        if let Some(child) = &self.child {
            Command::new("kill").args(["-TERM", &child.id().to_string()]).status().ok();
            self.record.note(format!("process of {} gets SIGTERM", self.name));
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = message("GET /readiness HTTP/1.1".to_owned(), &[("Host", "ready"), ("Connection", "close")], "");
        let answer = exchange(self.ready, &request, Duration::from_millis(500));
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Returns the last epoch in which this node logged that it leads.
    pub fn led_epoch(&self) -> Option<u64> {
        let log = fs::read_to_string(&self.log).ok()?;
        let leads = log.lines().filter(|line| line.contains(r#""event":"leads""#));
        let epoch = |line: &str| {
            let (_, rest) = line.split_once(r#""epoch":"#)?;
            rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
        };
        leads.filter_map(epoch).max()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
