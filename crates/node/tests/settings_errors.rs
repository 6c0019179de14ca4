//! Invalid settings are refused with an error code and a source location.

#![allow(clippy::unwrap_used)]

use std::fs;

use assert_matches::assert_matches;
use miette::Diagnostic;
use miette::SourceSpan;
use quetzalrack_node::settings::NodeSettings;
use quetzalrack_node::settings::SettingsError;
use quetzalrack_node::settings::parse_settings;
use quetzalrack_node::settings::read_settings;

const GOOD: &str = r#"{
  "environment": "andina",
  "stage": "production",
  "node": "node-1",
  "zone": "suba",
  "address": "127.0.0.1",
  "ports": {"traffic": 0, "heartbeat": 0, "control": 0, "admin": 0},
  "log": "http://127.0.0.1:7000",
  "node_keys": [{"id": "n1", "secret": "00112233445566778899aabbccddeeff"}],
  "operator_keys": [{"id": "o1", "secret": "ffeeddccbbaa99887766554433221100"}]
}"#;

/// The replaced text, its replacement, the expected error code and the reported line.
const CASES: [(&str, &str, &str, usize); 14] = [
    ("\"zone\"", "\"zones\"", "settings::unknown_field", 5),
    ("\"suba\"", "7", "settings::wrong_type", 5),
    ("  \"zone\": \"suba\",\n", "", "settings::missing_field", 10),
    ("\"suba\"", "\"Suba!\"", "settings::wrong_value", 5),
    ("\"127.0.0.1\"", "\"localhost\"", "settings::wrong_value", 6),
    ("\"production\"", "\"prod\"", "settings::wrong_value", 3),
    (
        "\"traffic\": 0",
        "\"traffic\": 70000",
        "settings::wrong_value",
        7,
    ),
    (
        "http://127.0.0.1:7000",
        "https://log.example",
        "settings::log_address",
        8,
    ),
    (
        "00112233445566778899aabbccddeeff",
        "0011",
        "settings::weak_key",
        9,
    ),
    (
        "[{\"id\": \"o1\", \"secret\": \"ffeeddccbbaa99887766554433221100\"}]",
        "[]",
        "settings::no_key",
        10,
    ),
    (
        "\"traffic\": 0",
        "\"traffic\": 99, \"admin\": 99",
        "settings::wrong_value",
        7,
    ),
    (
        "\"traffic\": 0, \"heartbeat\": 0, \"control\": 0",
        "\"traffic\": 99, \"control\": 99",
        "settings::duplicate_port",
        7,
    ),
    ("\"zone\": ", "\"zone\" ", "settings::syntax", 5),
    (
        "\"log\"",
        "\"threads\": 0, \"log\"",
        "settings::wrong_value",
        8,
    ),
];

fn parse(text: &str) -> Result<NodeSettings, SettingsError> {
    parse_settings("node.json", text)
}

fn refuse(from: &str, to: &str) -> SettingsError {
    let text = GOOD.replace(from, to);
    assert_ne!(text, GOOD, "the change must apply");
    parse(&text).unwrap_err()
}

fn code_of(error: &SettingsError) -> String {
    error.code().unwrap().to_string()
}

fn line_of(error: &SettingsError) -> usize {
    let label = error.labels().unwrap().next().unwrap();
    let source = error.source_code().unwrap();
    source.read_span(label.inner(), 0, 0).unwrap().line() + 1
}

#[test]
fn good_settings() {
    assert_matches!(parse(GOOD), Ok(settings) if settings.seeds.is_empty());
}

#[test]
fn bad_fields() {
    for (from, to, code, line) in CASES {
        let error = refuse(from, to);
        assert_eq!(
            (code_of(&error).as_str(), line_of(&error)),
            (code, line),
            "{from} -> {to}: {error}"
        );
    }
}

#[test]
fn duplicate_key() {
    let pair = r#"[{"id": "n1", "secret": "00112233445566778899aabbccddeeff"},"#;
    let error = refuse("\"node_keys\": [", &format!("\"node_keys\": {pair}"));
    assert_matches!(error, SettingsError::DuplicateKey { field: "node_keys", id, .. } if id == "n1");
}

#[test]
fn hostile_files() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.json");
    assert_matches!(read_settings(&path), Err(SettingsError::Unreadable { .. }));
    fs::write(&path, "").unwrap();
    assert_matches!(read_settings(&path), Err(SettingsError::Empty { .. }));
    fs::write(&path, b"{\"zone\": \"\xff\"}").unwrap();
    assert_matches!(
        read_settings(&path),
        Err(SettingsError::NotUtf8 { offset: 10, .. })
    );
    fs::write(&path, "[".repeat(10_000_000)).unwrap();
    assert_matches!(read_settings(&path), Err(SettingsError::TooLarge { .. }));
    fs::write(&path, "[".repeat(60_000)).unwrap();
    assert_matches!(
        read_settings(&path),
        Err(SettingsError::WrongType { .. } | SettingsError::Syntax { .. })
    );
    fs::write(&path, format!("{{\"node_keys\": {}", "[".repeat(60_000))).unwrap();
    assert_matches!(
        read_settings(&path),
        Err(SettingsError::WrongType { .. } | SettingsError::Syntax { .. })
    );
}

#[test]
fn secrets_masked() {
    // An operator mistypes a line next to a key; the report shows that line and the lines around
    // it. Without masking, the key would appear in the terminal's history.
    let error = refuse(
        "ffeeddccbbaa99887766554433221100",
        "ffeeddccbbaa9988776655443322110",
    );
    let whole = SourceSpan::from((0, 1));
    let shown = error
        .source_code()
        .unwrap()
        .read_span(&whole, 0, 100)
        .unwrap();
    let text = String::from_utf8(shown.data().to_vec()).unwrap();
    assert!(
        !text.contains("ffeedd") && !text.contains("00112233"),
        "{text}"
    );
}
