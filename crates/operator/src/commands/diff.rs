//! The command `diff`.

use super::Exit;
use super::Report;
use super::Session;
use super::document_source;
use super::flatten::flatten;
use crate::text::MessageCode;

/// Lists what a document changes, defaults included, so that a default written out is none.
pub(super) async fn run(session: &mut Session, old: &str, new: &str) -> Report {
    let (old, new) = match find_both(session, old, new).await {
        Ok(both) => both,
        Err(report) => return report,
    };
    let mut lines = Vec::new();
    for (path, value) in &old {
        match new.get(path) {
            Some(same) if same == value => {}
            Some(changed) => {
                lines.push(format!("- {path}: {value}"));
                lines.push(format!("+ {path}: {changed}"));
            }
            None => lines.push(format!("- {path}: {value}")),
        }
    }
    for (path, value) in &new {
        if !old.contains_key(path) {
            lines.push(format!("+ {path}: {value}"));
        }
    }
    if lines.is_empty() {
        return session.report(Exit::Done, MessageCode::Same, &[]);
    }
    Report {
        exit: Exit::Done,
        lines,
    }
}

type Lines = std::collections::BTreeMap<String, String>;

async fn find_both(session: &mut Session, old: &str, new: &str) -> Result<(Lines, Lines), Report> {
    let old = document_source::find(session, old).await?;
    let new = document_source::find(session, new).await?;
    let lines = |source: document_source::SourceDocument| {
        serde_json::to_value(&*source.document).map(|value| flatten(&value))
    };
    match (lines(old), lines(new)) {
        (Ok(old), Ok(new)) => Ok((old, new)),
        _ => Err(session.report(Exit::BadInput, MessageCode::Same, &[])),
    }
}
