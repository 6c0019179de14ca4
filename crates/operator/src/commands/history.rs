//! The command `history`.

use quetzalrack_core::intent::OrderSummary;
use quetzalrack_core::intent::Stage;

use super::Exit;
use super::Report;
use super::Session;
use super::verdict_text;
use crate::text::MessageCode;

/// Lists the kept orders of a stage, newest first.
pub(super) async fn run(session: &mut Session, stage: Stage) -> Report {
    if let Err(report) = session.refresh().await {
        return report;
    }
    let history = session.desk.state().stage(stage).history();
    let summaries: Vec<OrderSummary> = history
        .iter()
        .rev()
        .map(|kept| OrderSummary::from(&kept.body))
        .collect();
    if session.json {
        return Report::json(Exit::Done, &summaries);
    }
    if summaries.is_empty() {
        let values: [&str; 1] = [&stage.to_string()];
        return session.report(Exit::Done, MessageCode::NothingInForce, &values);
    }
    let lines = summaries
        .iter()
        .map(|summary| verdict_text::summary(session, summary))
        .collect();
    Report {
        exit: Exit::Done,
        lines,
    }
}
