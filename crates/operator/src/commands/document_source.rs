//! Where a document comes from.

use std::path::Path;
use std::sync::Arc;

use quetzalrack_core::document;
use quetzalrack_core::document::EnvironmentDocument;
use quetzalrack_core::intent::Stage;

use super::Exit;
use super::Report;
use super::Session;
use super::check;
use crate::text::MessageCode;

/// Is a right document with its text.
pub(super) struct SourceDocument {
    pub text: String,
    pub document: Arc<EnvironmentDocument>,
}

/// Finds a document by a stage, a digest's first digits, or a file.
pub(super) async fn find(session: &mut Session, name: &str) -> Result<SourceDocument, Report> {
    if let Ok(stage) = name.parse::<Stage>() {
        session.refresh().await?;
        let digest = session.desk.state().stage(stage).digest();
        let text = digest.and_then(|digest| session.desk.state().document_text(digest));
        let none = || session.report(Exit::Rejected, MessageCode::NothingInForce, &[name]);
        return open(&text.ok_or_else(none)?, session, name);
    }
    if Path::new(name).exists() || !is_digits(name) {
        return from_file(session, Path::new(name));
    }
    session.refresh().await?;
    let state = session.desk.state();
    let digests = [Stage::Trial, Stage::Production].map(|stage| state.stage(stage));
    let mut known: Vec<_> = digests.iter().flat_map(|stage| stage.digests()).collect();
    known.sort();
    known.dedup();
    known.retain(|digest| digest.to_string().starts_with(name));
    let text = match known[..] {
        [digest] => state.document_text(digest),
        _ => None,
    };
    let none = || session.report(Exit::BadInput, MessageCode::UnknownDigest, &[name]);
    open(&text.ok_or_else(none)?, session, name)
}

fn open(text: &str, session: &Session, name: &str) -> Result<SourceDocument, Report> {
    let document = document::open(text.as_bytes())
        .ok_or_else(|| session.report(Exit::BadInput, MessageCode::UnknownDigest, &[name]))?;
    Ok(SourceDocument {
        text: text.to_owned(),
        document,
    })
}

fn from_file(session: &Session, file: &Path) -> Result<SourceDocument, Report> {
    let (bytes, checked) = check::read_checked(file, session.language)?;
    match &checked.document {
        Some(document) => Ok(SourceDocument {
            text: String::from_utf8_lossy(&bytes).into_owned(),
            document: Arc::clone(document),
        }),
        None => Err(check::describe(file, &bytes, &checked, session.language)),
    }
}

fn is_digits(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_hexdigit())
}
