//! Worlds with lowered limits, what is checked in them, and the clients that crowd them.
#![allow(dead_code, unused_imports)]

mod clients;
mod requests;
mod site;

pub use clients::Crowd;
pub use clients::Script;
pub use requests::Framing;
pub use requests::body;
pub use requests::chunk;
pub use requests::head;
pub use site::ENTRY;
pub use site::OTHER;
pub use site::SERVER;
pub use site::Site;
pub use site::small_machine;
