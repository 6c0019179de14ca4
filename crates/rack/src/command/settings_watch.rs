//! Checking the settings file of a running process for changes.

use std::path::PathBuf;

use quetzalrack_mesh::model::HostSettings;
use quetzalrack_platform::settings::read_settings;

/// Logs whether the settings file is valid and how it differs from the settings of the running
/// process.
///
/// Addresses and names never change while a process runs, and the operators' intent comes from the
/// store, so no change is applied: a change takes effect at the next start.
pub(super) struct SettingsWatch {
    path: PathBuf,
    running: HostSettings,
    /// The last state of the file that was logged.
    reported: Option<FileState>,
}

#[derive(Clone, Debug, PartialEq)]
enum FileState {
    Same,
    Changed(Box<HostSettings>),
    Invalid(String),
}

impl SettingsWatch {
    pub(super) fn new(path: PathBuf, running: HostSettings) -> Self {
        Self {
            path,
            running,
            reported: Some(FileState::Same),
        }
    }

    /// Reads the file after a reload signal and logs its state, even if the state is unchanged.
    pub(super) fn reload(&mut self) {
        self.reported = None;
        self.check();
    }

    /// Reads the file and logs its state if that has changed.
    pub(super) fn check(&mut self) {
        let state = match read_settings(&self.path) {
            Ok(host) if host == self.running => FileState::Same,
            Ok(host) => FileState::Changed(Box::new(host)),
            Err(error) => FileState::Invalid(error.to_string()),
        };
        if self.reported.as_ref() == Some(&state) {
            return;
        }
        match &state {
            FileState::Same => log::info!(event = "reload", changed = false; ""),
            FileState::Changed(host) => log::warn!(
                event = "reload", changed = true, fields = host.differences(&self.running).join(",");
                "takes effect at the next start"
            ),
            FileState::Invalid(error) => log::error!(event = "reload_failed"; "{error}"),
        }
        self.reported = Some(state);
    }
}
