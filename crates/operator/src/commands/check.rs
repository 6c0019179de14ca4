//! The command `check`.

use std::path::Path;

use quetzalrack_core::document::CheckReport;
use quetzalrack_core::document::Severity;
use quetzalrack_core::document::check::MAX_BYTES;
use quetzalrack_core::document::check::check;
use quetzalrack_core::document::check::missing_file;
use quetzalrack_core::language::Language;
use serde::Serialize;

use super::Exit;
use super::Report;
use super::problem_text::problem_text;
use crate::text::MessageCode;
use crate::text::say;

/// How much more than the greatest document is read; enough to see that a file is too large.
const READ_BEYOND: u64 = 64 * 1024 * 1024;

#[derive(Serialize)]
struct CheckOutput<'a> {
    digest: String,
    right: bool,
    problems: &'a [quetzalrack_core::document::Problem],
    hidden: usize,
}

/// Tells everything wrong with a document.
pub fn run(file: &Path, language: Language, json: bool) -> Report {
    match read_checked(file, language) {
        Ok((bytes, report)) if json => {
            let exit = exit_of(&report);
            let output = CheckOutput {
                digest: report.digest.to_string(),
                right: !report.has_errors(),
                problems: &report.problems,
                hidden: report.hidden,
            };
            drop(bytes);
            Report::json(exit, &output)
        }
        Ok((bytes, report)) => describe(file, &bytes, &report, language),
        Err(report) => report,
    }
}

/// Reads and checks a file; the report tells that it can't be read.
pub(super) fn read_checked(
    file: &Path,
    language: Language,
) -> Result<(Vec<u8>, CheckReport), Report> {
    match read_bounded(file) {
        Ok(bytes) => {
            let report = check(&bytes);
            Ok((bytes, report))
        }
        Err(error) => {
            let name = file.display().to_string();
            let problem = missing_file(&name, &error.to_string());
            let text = problem_text(language, &name, &[], &problem);
            Err(Report::line(Exit::BadInput, text))
        }
    }
}

/// Lists a document's problems and sums them up.
pub(super) fn describe(
    file: &Path,
    bytes: &[u8],
    report: &CheckReport,
    language: Language,
) -> Report {
    let name = file.display().to_string();
    let problems = report.problems.iter();
    let mut lines: Vec<_> = problems
        .map(|problem| problem_text(language, &name, bytes, problem))
        .collect();
    let errors = report.count(Severity::Error).to_string();
    let warnings = report.count(Severity::Warning).to_string();
    lines.push(match report.has_errors() {
        true => {
            let values: [&str; 4] = [&name, &errors, &warnings, &report.hidden.to_string()];
            say(language, MessageCode::DocumentWrong, &values)
        }
        false => {
            let values: [&str; 3] = [&name, &report.digest.to_string(), &warnings];
            say(language, MessageCode::DocumentRight, &values)
        }
    });
    Report {
        exit: exit_of(report),
        lines,
    }
}

fn exit_of(report: &CheckReport) -> Exit {
    match report.has_errors() {
        true => Exit::BadInput,
        false => Exit::Done,
    }
}

/// Reads a file, but no endless one.
fn read_bounded(file: &Path) -> std::io::Result<Vec<u8>> {
    use std::io::Read;
    let mut bytes = Vec::new();
    let most = MAX_BYTES as u64 + READ_BEYOND;
    std::fs::File::open(file)?
        .take(most)
        .read_to_end(&mut bytes)?;
    Ok(bytes)
}
