//! What happens with settings that can't be used.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::fs;
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

/// Nothing names a settings file: the process ends at once and says which variable is meant.
#[test]
fn not_named() {
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

/// A field has another type: the message names it and what was expected.
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
