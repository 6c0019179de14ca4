//! Choosing what to do.

use super::Report;
use super::Session;
use super::check;
use super::diff;
use super::explain;
use super::history;
use super::publish;
use super::service;
use super::show;
use super::status;
use crate::arguments::Command;

/// Runs a command.
pub async fn run(session: &mut Session, command: Command) -> Report {
    match command {
        Command::Check { file } => check::run(&file, session.language, session.json),
        Command::Publish { file, base, why } => publish::publish(session, &file, base, why).await,
        Command::Promote { digest, base, why } => {
            publish::promote(session, &digest, base, why).await
        }
        Command::Rollback {
            to,
            stage,
            base,
            why,
        } => publish::rollback(session, stage, to, base, why).await,
        Command::History { stage } => history::run(session, stage).await,
        Command::Diff { old, new } => diff::run(session, &old, &new).await,
        Command::Show {
            document,
            effective,
        } => show::run(session, &document, effective).await,
        Command::Zone(line) => service::zone(session, line).await,
        Command::Server(line) => service::server(session, line).await,
        Command::Status { wait } => status::run(session, wait.0).await,
        Command::Explain(question) => explain::run(session, question).await,
    }
}
