//! The command `show`.

use super::Exit;
use super::Report;
use super::Session;
use super::document_source;

/// Shows a document as it was written, or with every default.
pub(super) async fn run(session: &mut Session, name: &str, effective: bool) -> Report {
    match document_source::find(session, name).await {
        Ok(source) if effective => Report::json(Exit::Done, &*source.document),
        Ok(source) => Report::line(Exit::Done, source.text.trim_end().to_owned()),
        Err(report) => report,
    }
}
