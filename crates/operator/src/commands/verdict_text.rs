//! What operators are told of an order's fate.

use quetzalrack_core::intent::OrderSummary;
use quetzalrack_core::intent::Rejection;
use quetzalrack_core::intent::Stage;

use super::Exit;
use super::Report;
use super::Session;
use crate::desk::Verdict;
use crate::text::MessageCode;
use crate::text::order_text;

/// Tells the truth about an order; a loser learns what the winner did, by whom and why.
pub(super) fn report(session: &Session, stage: Stage, verdict: &Verdict) -> Report {
    match verdict {
        Verdict::Accepted(summary) => {
            let order = order_text(&summary.order);
            let values: [&str; 3] = [&order, &summary.version.to_string(), &stage.to_string()];
            session.report(Exit::Done, MessageCode::Accepted, &values)
        }
        Verdict::Rejected(rejection) => rejected(session, stage, rejection),
        Verdict::Unknown(id) => {
            session.report(Exit::Unknown, MessageCode::Unknown, &[&id.to_string()])
        }
    }
}

/// Describes one accepted order.
pub(super) fn summary(session: &Session, summary: &OrderSummary) -> String {
    let values: [&str; 4] = [
        &summary.version.to_string(),
        &order_text(&summary.order),
        &summary.operator.to_string(),
        &summary.why,
    ];
    session.say(MessageCode::Winner, &values)
}

fn rejected(session: &Session, stage: Stage, rejection: &Rejection) -> Report {
    let stage = stage.to_string();
    match rejection {
        Rejection::WrongBase { base, winner, .. } => {
            let values: [&str; 2] = [&base.next().to_string(), &stage];
            let mut report = session.report(Exit::Rejected, MessageCode::LostRace, &values);
            let winner = winner.as_ref().map(|winner| summary(session, winner));
            report.lines.extend(winner);
            report
        }
        Rejection::NotInTrial { digest } => {
            let values: [&str; 1] = [&digest.to_string()];
            session.report(Exit::Rejected, MessageCode::NotInTrial, &values)
        }
        Rejection::NotInHistory { digest } => {
            let values: [&str; 2] = [&digest.to_string(), &stage];
            session.report(Exit::Rejected, MessageCode::NotInHistory, &values)
        }
        Rejection::NothingInForce => {
            session.report(Exit::Rejected, MessageCode::NothingInForce, &[&stage])
        }
        Rejection::UnknownZone { zone } => {
            let values: [&str; 2] = [&zone.to_string(), "?"];
            session.report(Exit::Rejected, MessageCode::UnknownZone, &values)
        }
        Rejection::Duplicate
        | Rejection::ForeignEnvironment
        | Rejection::InvalidDocument
        | Rejection::TooLarge => {
            let values: [&str; 1] = [&format!("{rejection:?}")];
            session.report(Exit::Rejected, MessageCode::RejectedOther, &values)
        }
    }
}
