//! Invalid settings and the messages about them.
#![allow(clippy::unwrap_used, clippy::panic)]

#[allow(dead_code, reason = "the configuration is for other tests")]
#[path = "system/support/texts.rs"]
mod texts;

use std::fs;
use std::net::SocketAddr;
use std::process::Command;
use std::process::Output;

fn run(text: Option<&str>) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.toml");
    let mut command = Command::new(env!("CARGO_BIN_EXE_quetzalrack-rack"));
    command.env_remove("QUETZALRACK_BOOT").arg("--check");
    if let Some(text) = text {
        fs::write(&path, text).unwrap();
        command.env("QUETZALRACK_BOOT", &path);
    }
    command.output().unwrap()
}

fn message(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// No settings file is given: the process exits at once and names the environment variable to set.
#[test]
fn no_settings_file() {
    let output = run(None);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        message(&output).contains("QUETZALRACK_BOOT"),
        "{}",
        message(&output)
    );
}

/// A field is missing: the message names it.
#[test]
fn missing_field() {
    let output = run(Some("[self]\nnode_name = \"a\"\nip = \"10.0.0.1\"\n"));
    assert_eq!(output.status.code(), Some(2));
    assert!(message(&output).contains("zone"), "{}", message(&output));
}

/// A field has the wrong type: the message gives the field and the expected type.
#[test]
fn wrong_type() {
    let output = run(Some("[self]\nnode_name = 7\n"));
    assert_eq!(output.status.code(), Some(2));
    let message = message(&output);
    assert!(
        message.contains("node_name") && message.contains("string"),
        "{message}"
    );
}

/// Guards against values that make a node misbehave, such as heartbeats without an interval or a negative
/// budget: they are rejected, and the message names the field.
#[test]
fn invalid_values() {
    let ports = [1, 2, 3, 4].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let valid = texts::settings("127.0.0.1", 0, "plain", ports[0], ports, 1_000.0);
    assert!(run(Some(&valid)).status.success());
    for (from, to, field) in [
        (
            "heartbeat = \"300ms\"",
            "heartbeat = \"0ms\"",
            "platform.heartbeat",
        ),
        (
            "retry_budget_ratio = 0.2",
            "retry_budget_ratio = -0.2",
            "retry_budget_ratio",
        ),
        ("cold_slack = 5", "cold_slack = nan", "cold_slack"),
        ("[7620, 7635]", "[7635, 7620]", "internal_ports"),
        (
            "[self.limits]",
            "[self.limits]\nmemory_mb = 0",
            "self.limits.memory_mb",
        ),
        (
            "[self.limits]",
            "[self.limits]\nmax_fds = 0",
            "self.limits.max_fds",
        ),
    ] {
        let output = run(Some(&valid.replace(from, to)));
        assert_eq!(output.status.code(), Some(2), "{to}");
        assert!(message(&output).contains(field), "{}", message(&output));
    }
}

/// Without a known mode of granting keys no key could be served; the message names the field and its
/// possible values.
#[test]
fn unknown_granting() {
    let ports = [1, 2, 3, 4].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let valid = texts::settings("127.0.0.1", 0, "plain", ports[0], ports, 1_000.0);
    let line = "grants = \"heartbeat\"";
    assert!(
        run(Some(&valid.replace(line, "grants = \"request\"")))
            .status
            .success()
    );
    for (to, expected) in [("", "grants"), ("grants = \"mail\"", "request")] {
        let output = run(Some(&valid.replace(line, to)));
        assert_eq!(output.status.code(), Some(2), "{to}");
        assert!(message(&output).contains(expected), "{}", message(&output));
    }
}
