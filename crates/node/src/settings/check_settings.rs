//! Checks of the settings beyond those of their JSON types.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;

use http::Uri;
use miette::NamedSource;

use super::KeySettings;
use super::NodeSettings;
use super::SettingsError;
use super::locate_field::locate_field;

/// Minimum length of a secret in hexadecimal digits: 128 bits.
const MIN_SECRET_DIGITS: usize = 32;
/// Maximum number of seeds; a few are enough to find the other nodes.
const MAX_SEEDS: usize = 64;
/// Maximum number of keys in each list; two are needed during a key rotation.
const MAX_KEYS: usize = 16;

/// Checks the settings and returns the first error, whose report quotes `text`.
pub(super) fn check_settings(
    name: &str,
    text: &str,
    settings: &NodeSettings,
) -> Result<(), SettingsError> {
    let source = Source { name, text };
    check_log_address(&source, settings)?;
    check_ports(&source, settings)?;
    check_keys(&source, "node_keys", &settings.node_keys)?;
    check_keys(&source, "operator_keys", &settings.operator_keys)?;
    check_counts(&source, settings)
}

struct Source<'a> {
    name: &'a str,
    text: &'a str,
}

impl Source<'_> {
    fn named(&self) -> Arc<NamedSource<String>> {
        Arc::new(NamedSource::new(self.name, self.text.to_owned()))
    }

    fn wrong_value(&self, path: &[&str], reason: String) -> SettingsError {
        SettingsError::WrongValue {
            text: self.named(),
            at: locate_field(self.text, path),
            reason,
        }
    }
}

fn check_log_address(source: &Source<'_>, settings: &NodeSettings) -> Result<(), SettingsError> {
    let is_usable = settings.log.parse::<Uri>().is_ok_and(|uri| {
        let host = uri.host().unwrap_or_default().trim_matches(['[', ']']);
        uri.scheme_str() == Some("http")
            && host.parse::<IpAddr>().is_ok()
            && uri.port_u16().is_some()
            && uri.path_and_query().is_none_or(|path| path == "/")
    });
    if is_usable {
        return Ok(());
    }
    Err(SettingsError::LogAddress {
        text: source.named(),
        at: locate_field(source.text, &["log"]),
    })
}

fn check_ports(source: &Source<'_>, settings: &NodeSettings) -> Result<(), SettingsError> {
    let ports = &settings.ports;
    let mut seen = BTreeSet::new();
    let tcp_ports = [
        ("traffic", ports.traffic),
        ("control", ports.control),
        ("admin", ports.admin),
    ];
    for (field, port) in tcp_ports {
        if port != 0 && !seen.insert(port) {
            return Err(SettingsError::DuplicatePort {
                text: source.named(),
                at: locate_field(source.text, &["ports", field]),
                port,
            });
        }
    }
    Ok(())
}

fn check_keys(
    source: &Source<'_>,
    field: &'static str,
    keys: &[KeySettings],
) -> Result<(), SettingsError> {
    if keys.is_empty() {
        return Err(SettingsError::NoKey {
            text: source.named(),
            at: locate_field(source.text, &[field]),
            field,
        });
    }
    if keys.len() > MAX_KEYS {
        let reason = format!("{field} has more than {MAX_KEYS} keys");
        return Err(source.wrong_value(&[field], reason));
    }
    let mut seen = BTreeSet::new();
    for (index, key) in keys.iter().enumerate() {
        check_key(source, field, &index.to_string(), key)?;
        if !seen.insert(&key.id) {
            return Err(SettingsError::DuplicateKey {
                text: source.named(),
                at: locate_field(source.text, &[field, &index.to_string(), "id"]),
                field,
                id: key.id.clone(),
            });
        }
    }
    Ok(())
}

fn check_key(
    source: &Source<'_>,
    field: &str,
    index: &str,
    key: &KeySettings,
) -> Result<(), SettingsError> {
    if key.id.is_empty() || key.id.len() > 63 {
        let reason = "a key's id must have 1 to 63 characters".to_owned();
        return Err(source.wrong_value(&[field, index, "id"], reason));
    }
    let is_hex = key.secret.bytes().all(|byte| byte.is_ascii_hexdigit());
    if is_hex && key.secret.len() >= MIN_SECRET_DIGITS && key.secret.len().is_multiple_of(2) {
        return Ok(());
    }
    Err(SettingsError::WeakKey {
        text: source.named(),
        at: locate_field(source.text, &[field, index, "id"]),
    })
}

fn check_counts(source: &Source<'_>, settings: &NodeSettings) -> Result<(), SettingsError> {
    if settings.threads == Some(0) || settings.threads.is_some_and(|threads| threads > 64) {
        let reason = "threads must be between 1 and 64".to_owned();
        return Err(source.wrong_value(&["threads"], reason));
    }
    if settings.seeds.len() > MAX_SEEDS {
        let reason = format!("seeds has more than {MAX_SEEDS} addresses");
        return Err(source.wrong_value(&["seeds"], reason));
    }
    Ok(())
}
