//! The commands `publish`, `promote` and `rollback`.

use std::path::Path;

use quetzalrack_core::ids::DocumentDigest;
use quetzalrack_core::ids::Version;
use quetzalrack_core::intent::Order;
use quetzalrack_core::intent::Stage;

use super::Exit;
use super::Report;
use super::Session;
use super::check;
use super::orders::give;
use crate::text::MessageCode;

/// Publishes a document to trial.
pub(super) async fn publish(
    session: &mut Session,
    file: &Path,
    base: Option<Version>,
    why: String,
) -> Report {
    let (bytes, checked) = match check::read_checked(file, session.language) {
        Ok(read) => read,
        Err(report) => return report,
    };
    let Some(document) = &checked.document else {
        return check::describe(file, &bytes, &checked, session.language);
    };
    if document.environment != session.environment {
        let values: [&str; 2] = [
            document.environment.as_str(),
            &session.environment.to_string(),
        ];
        return session.report(Exit::BadInput, MessageCode::ForeignDocument, &values);
    }
    if let Err(report) = session.refresh().await {
        return report;
    }
    let order = Order::Publish {
        digest: checked.digest,
    };
    // The checker accepts UTF-8 only, so nothing is replaced here.
    let text = String::from_utf8_lossy(&bytes).into_owned();
    give(session, order, base, why, Some(text)).await
}

/// Promotes a document that trial accepted.
pub(super) async fn promote(
    session: &mut Session,
    digits: &str,
    base: Option<Version>,
    why: String,
) -> Report {
    if let Err(report) = session.refresh().await {
        return report;
    }
    let trial = session.desk.state().stage(Stage::Trial);
    let mut known: Vec<_> = trial.digests().collect();
    known.sort();
    known.dedup();
    let named: Vec<_> = known
        .into_iter()
        .filter(|digest| digest.to_string().starts_with(digits))
        .collect();
    let digest = match named[..] {
        [digest] if !digits.is_empty() => digest,
        _ => match digits.parse::<DocumentDigest>() {
            Ok(digest) => {
                let values: [&str; 1] = [&digest.to_string()];
                return session.report(Exit::Rejected, MessageCode::NotInTrial, &values);
            }
            Err(_) => return session.report(Exit::BadInput, MessageCode::UnknownDigest, &[digits]),
        },
    };
    give(session, Order::Promote { digest }, base, why, None).await
}

/// Puts the document of an earlier version in force again.
pub(super) async fn rollback(
    session: &mut Session,
    stage: Stage,
    to: Version,
    base: Option<Version>,
    why: String,
) -> Report {
    if let Err(report) = session.refresh().await {
        return report;
    }
    let history = session.desk.state().stage(stage).history();
    let mut until = history.iter().filter(|kept| kept.version() <= to);
    let is_kept = history.iter().any(|kept| kept.version() == to);
    let digest = until.rfind(|kept| kept.body.order.digest().is_some());
    let digest = digest.and_then(|kept| kept.body.order.digest());
    let Some(digest) = digest.filter(|_| is_kept) else {
        let values: [&str; 2] = [&to.to_string(), &stage.to_string()];
        return session.report(Exit::Rejected, MessageCode::NotInHistory, &values);
    };
    give(session, Order::Rollback { stage, digest }, base, why, None).await
}
