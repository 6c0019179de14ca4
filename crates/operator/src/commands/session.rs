//! What a command works with.

use std::sync::Arc;

use quetzalrack_core::boundary::LogService;
use quetzalrack_core::ids::EnvironmentName;
use quetzalrack_core::language::Language;
use quetzalrack_core::security::KeyRing;

use super::Exit;
use super::Report;
use crate::desk::DeskConfig;
use crate::desk::DeskError;
use crate::desk::OrderDesk;
use crate::nodes::NodeAccess;
use crate::text::MessageCode;
use crate::text::say;

/// Holds the ways to the log and to the nodes, and the operator's language.
pub struct Session {
    /// The language of messages.
    pub language: Language,
    /// Whether JSON is wanted.
    pub json: bool,
    /// The environment.
    pub environment: EnvironmentName,
    /// Where the log service is, for messages.
    pub log_name: String,
    /// The operator's desk.
    pub desk: OrderDesk,
    /// The way to nodes.
    pub nodes: Arc<dyn NodeAccess>,
    /// The admin address of any node, if one is known.
    pub node: Option<String>,
    /// Keys, for proofs.
    pub keys: KeyRing,
}

impl Session {
    /// Opens a session at a log service.
    pub fn open(
        config: DeskConfig,
        log: Arc<dyn LogService>,
        nodes: Arc<dyn NodeAccess>,
        language: Language,
    ) -> Self {
        Self {
            language,
            json: false,
            environment: config.environment.clone(),
            log_name: String::new(),
            keys: config.keys.clone(),
            desk: OrderDesk::open(config, log),
            nodes,
            node: None,
        }
    }

    /// Writes a message in the operator's language.
    pub fn say(&self, code: MessageCode, values: &[&str]) -> String {
        say(self.language, code, values)
    }

    /// Makes a report of one message.
    pub fn report(&self, exit: Exit, code: MessageCode, values: &[&str]) -> Report {
        Report::line(exit, self.say(code, values))
    }

    /// Reads the log to its end; the report tells why that failed.
    pub async fn refresh(&mut self) -> Result<(), Report> {
        match self.desk.refresh().await {
            Ok(()) => Ok(()),
            Err(error) => Err(self.desk_failure(error)),
        }
    }

    /// Tells why the desk could not help.
    pub fn desk_failure(&self, error: DeskError) -> Report {
        match error {
            DeskError::LogDown => {
                self.report(Exit::Unknown, MessageCode::LogDown, &[&self.log_name])
            }
            DeskError::RecordsMissed => self.report(Exit::Unknown, MessageCode::RecordsMissed, &[]),
            DeskError::Unwritable => {
                self.report(Exit::BadInput, MessageCode::RejectedOther, &["record"])
            }
        }
    }
}
