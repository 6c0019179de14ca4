//! The node's process: exit statuses, signals and the listening line.
#![allow(clippy::unwrap_used)]

mod support;

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::UdpSocket;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use quetzalrack_core::ownership::PeerMessage;
use quetzalrack_core::security::KeyRing;
use quetzalrack_core::security::KeySettings;
use quetzalrack_node::settings::NodeSettings;
use quetzalrack_testutils::poll::poll_until;
use quetzalrack_wire::datagram::seal_datagram;
use quetzalrack_wire::status::ListeningLine;
use quetzalrack_wire::status::NodeStatus;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use support::settings;
use tempfile::TempDir;

/// A node's process, killed on drop.
struct NodeProcess {
    child: Child,
    listening: ListeningLine,
}

impl NodeProcess {
    fn start(settings: &Path) -> Self {
        let mut child = command(settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let stdout = child.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut line).unwrap();
        let listening = serde_json::from_str(&line).unwrap();
        Self { child, listening }
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).unwrap();
        kill_process(Pid::from_raw(id).unwrap(), signal).unwrap();
    }

    /// Reads the log until a line has `event`.
    fn wait_for_event(&mut self, event: &str) {
        let stderr = self.child.stderr.take().unwrap();
        let wanted = format!("\"event\":\"{event}\"");
        let lines = BufReader::new(stderr).lines().map_while(Result::ok);
        assert!(lines.into_iter().any(|line| line.contains(&wanted)));
    }

    async fn exit_status(&mut self) -> Option<i32> {
        let ended = poll_until(Duration::from_secs(20), || {
            std::future::ready(self.child.try_wait().unwrap())
        });
        ended.await.unwrap().code()
    }

    async fn refused(&self) -> u64 {
        let url = format!("http://{}/status", self.listening.admin);
        let status: NodeStatus = reqwest::get(url).await.unwrap().json().await.unwrap();
        status.cost.datagrams_refused
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn command(settings: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quetzalrack-node"));
    command.arg(settings).env("RUST_LOG", "info");
    command
}

fn write(folder: &TempDir, settings: &NodeSettings) -> std::path::PathBuf {
    let path = folder.path().join("node.json");
    fs::write(&path, serde_json::to_string(settings).unwrap()).unwrap();
    path
}

#[test]
fn bad_settings() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("node.json");
    fs::write(&path, "{\"zone\": 7}").unwrap();
    let output = command(&path).output().unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(
        stderr.contains("settings::wrong_type") && stderr.contains("node.json:1:"),
        "{stderr}"
    );
    assert!(output.stdout.is_empty());
}

#[tokio::test]
async fn exits_on_signal() {
    let folder = tempfile::tempdir().unwrap();
    let path = write(&folder, &settings("node-1", "suba", &[]));
    for signal in [Signal::TERM, Signal::INT] {
        let mut node = NodeProcess::start(&path);
        node.signal(signal);
        assert_eq!(node.exit_status().await, Some(0));
    }
}

#[tokio::test]
async fn second_signal() {
    let folder = tempfile::tempdir().unwrap();
    let path = write(&folder, &settings("node-1", "suba", &[]));
    let mut node = NodeProcess::start(&path);
    node.signal(Signal::TERM);
    node.wait_for_event("shutdown_started");
    node.signal(Signal::TERM);
    assert_eq!(node.exit_status().await, Some(1));
}

#[tokio::test]
async fn keys_rotated() {
    // Operators replace the nodes' key without a restart. A node that kept its old key ring would
    // refuse its peers' datagrams as soon as they sign with the new key, and lose every lease.
    let folder = tempfile::tempdir().unwrap();
    let mut changed = settings("node-1", "suba", &[]);
    let path = write(&folder, &changed);
    let node = NodeProcess::start(&path);
    let fresh = KeySettings {
        id: "k2".to_owned(),
        secret: "ab".repeat(16),
    };
    let ring = KeyRing::open(std::slice::from_ref(&fresh)).unwrap();
    let sealed = seal_datagram(&PeerMessage::Resign(Default::default()), &ring).unwrap();
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.send_to(&sealed, node.listening.heartbeat).unwrap();
    let refused = poll_until(Duration::from_secs(5), || async {
        (node.refused().await == 1).then_some(())
    });
    assert_eq!(refused.await, Some(()));
    changed.node_keys.push(fresh);
    write(&folder, &changed);
    node.signal(Signal::HUP);
    let accepted = poll_until(Duration::from_secs(5), || async {
        let before = node.refused().await;
        socket.send_to(&sealed, node.listening.heartbeat).unwrap();
        let url = format!("http://{}/status", node.listening.admin);
        let status: NodeStatus = reqwest::get(url).await.unwrap().json().await.unwrap();
        (status.cost.datagrams_refused == before && status.cost.datagrams_in > before).then_some(())
    });
    assert_eq!(accepted.await, Some(()));
}
