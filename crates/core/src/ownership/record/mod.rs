//! Records of the control stream.

mod checkpoint;
mod claim;
mod control_body;
mod control_record;
mod division;
mod term_state;

pub use checkpoint::Checkpoint;
pub use claim::Claim;
pub use control_body::ControlBody;
pub use control_record::ControlRecord;
pub use division::Division;
pub use term_state::TermState;
