//! The document by which operators describe one environment.
//!
//! The schema is closed; see `docs/operations/document.md` for its meaning and
//! `docs/design/configuration.md` for why it looks as it does.

pub mod check;
pub mod spec;

mod catalogue;
mod check_report;
mod place;
mod problem;
mod problem_code;
mod schema;
mod severity;

pub use check::check;
pub use check::open;
pub use check_report::CheckReport;
pub use place::Place;
pub use problem::Problem;
pub use problem_code::ProblemCode;
pub use schema::schema;
pub use severity::Severity;
pub use spec::EnvironmentDocument;
