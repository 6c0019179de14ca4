//! Problems of a document with the lines they stand in.

use miette::GraphicalReportHandler;
use miette::GraphicalTheme;
use miette::LabeledSpan;
use miette::MietteDiagnostic;
use miette::NamedSource;
use miette::Severity as MietteSeverity;
use quetzalrack_core::document::Problem;
use quetzalrack_core::document::Severity;
use quetzalrack_core::language::Language;

/// The width of a line, in characters.
const WIDTH: usize = 100;
/// The greatest text that is shown with its problems, in bytes.
const MAX_SHOWN: usize = 1024 * 1024;

/// Writes one problem with the line it stands in.
pub(super) fn problem_text(
    language: Language,
    name: &str,
    bytes: &[u8],
    problem: &Problem,
) -> String {
    let severity = match problem.severity() {
        Severity::Error => MietteSeverity::Error,
        Severity::Warning => MietteSeverity::Warning,
    };
    let place = problem.place;
    let message = problem.message(language);
    let message = match place.line {
        0 => message,
        _ => format!("{name}:{place}: {message}"),
    };
    let diagnostic = MietteDiagnostic::new(message)
        .with_code(problem.code.as_str())
        .with_severity(severity);
    let has_line = !bytes.is_empty() && bytes.len() <= MAX_SHOWN && place.offset < bytes.len();
    let report = match has_line {
        true => {
            let end = (place.offset + place.length.max(1)).min(bytes.len());
            let label = LabeledSpan::underline(place.offset..end);
            let source = NamedSource::new(name, bytes.to_vec());
            miette::Report::new(diagnostic.with_label(label)).with_source_code(source)
        }
        false => miette::Report::new(diagnostic),
    };
    let mut text = String::new();
    let handler = GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor())
        .with_width(WIDTH)
        .with_context_lines(1);
    match handler.render_report(&mut text, report.as_ref()) {
        Ok(()) => text,
        Err(_) => format!("{} {}", problem.code, problem.message(language)),
    }
}
