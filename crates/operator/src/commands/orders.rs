//! Giving an order about a document.

use quetzalrack_core::ids::Version;
use quetzalrack_core::intent::Order;

use super::Exit;
use super::Report;
use super::Session;
use super::verdict_text;
use crate::desk::OrderDraft;
use crate::text::MessageCode;

/// Gives an order on a base that the operator has seen.
///
/// Without a base the command would build on whatever is newest, and overwrite what another
/// operator did a moment ago without either of them noticing.
pub(super) async fn give(
    session: &mut Session,
    order: Order,
    base: Option<Version>,
    why: String,
    document: Option<String>,
) -> Report {
    let stage = order.stage();
    let current = session.desk.state().stage(stage).version();
    let base = match base {
        Some(base) => base,
        None if current == Version::default() => current,
        None => return base_needed(session, current, stage),
    };
    let draft = OrderDraft {
        order,
        base,
        why,
        document,
    };
    match session.desk.give(draft).await {
        Ok(verdict) => verdict_text::report(session, stage, &verdict),
        Err(error) => session.desk_failure(error),
    }
}

fn base_needed(
    session: &Session,
    current: Version,
    stage: quetzalrack_core::intent::Stage,
) -> Report {
    let values: [&str; 2] = [&current.to_string(), &stage.to_string()];
    let mut report = session.report(Exit::BadInput, MessageCode::BaseNeeded, &values);
    let newest = session.desk.state().stage(stage).order_of(current);
    let newest = newest.map(|newest| verdict_text::summary(session, &newest));
    report.lines.extend(newest);
    report
}
