//! What operators type.

mod command;
mod command_line;
mod direction;
mod explain_command;
mod reason;
mod service_order;
mod span;

pub use command::Command;
pub use command_line::CommandLine;
pub use direction::Direction;
pub use explain_command::ExplainCommand;
pub use service_order::ServiceOrder;
pub use span::Span;
