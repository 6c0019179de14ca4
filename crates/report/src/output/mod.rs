//! The report as a table, JSON and one HTML page.

mod html;
mod output_error;
mod plot;
mod table;

pub use html::html;
pub use output_error::OutputError;
pub use table::table;
