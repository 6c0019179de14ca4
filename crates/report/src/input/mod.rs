//! Where readings come from: nodes, or a file of earlier readings.

mod input_error;
mod node_poll;
mod sample_file;

pub use input_error::InputError;
pub use node_poll::NodePoll;
pub use sample_file::read_samples;
pub use sample_file::write_sample;
