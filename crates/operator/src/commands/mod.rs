//! What each command does; all of it is shown by [`Report`], so that tests see it too.

mod check;
mod diff;
mod document_source;
mod exit;
mod explain;
mod flatten;
mod history;
mod memory_text;
mod orders;
mod problem_text;
mod publish;
mod report;
mod run;
mod service;
mod session;
mod show;
mod status;
mod verdict_text;

pub use check::run as check_file;
pub use exit::Exit;
pub use report::Report;
pub use run::run;
pub use session::Session;
