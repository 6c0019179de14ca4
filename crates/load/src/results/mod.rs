//! What an experiment leaves behind.

mod experiment_result;
mod figure;
mod line;
mod machine;
mod point;
mod result_files;
mod result_plot;
mod result_table;

pub use experiment_result::ExperimentResult;
pub use figure::Figure;
pub use line::Line;
pub use machine::Machine;
pub use point::Point;
pub use result_files::write_result;
