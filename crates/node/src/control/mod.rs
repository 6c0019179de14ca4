//! The control thread: passes events to the intent and ownership state machines and executes their
//! actions.
//!
//! The thread never waits for I/O. I/O runs on the service runtime, and its result comes back as an
//! event; see `docs/design/processes.md`.

mod control_board;
mod control_event;
mod control_inbox;
mod control_loop;
mod control_parts;
mod exit_notifier;
mod intent_driver;
mod intent_queries;
mod intent_sources;
mod log_tail;
mod ownership_driver;
mod server_tracker;
mod slice_counts;

pub use control_board::ControlBoard;
pub use control_event::ControlEvent;
pub use control_inbox::ControlInbox;
pub use control_loop::ControlLoop;
pub use control_parts::ControlParts;
pub use slice_counts::SliceCounts;
