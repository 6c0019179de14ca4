//! Worlds with lowered limits, what is checked in them, and the clients that crowd them.

mod clients;
mod faulty_server;
mod requests;
mod site;

pub use clients::Crowd;
pub use clients::Script;
pub use faulty_server::Answer;
pub use faulty_server::FaultyServer;
pub use faulty_server::answer_all;
pub use requests::Framing;
pub use requests::block;
pub use requests::body;
pub use requests::chunk;
pub use requests::head;
pub use requests::in_chunks;
pub use requests::with_length;
pub use site::ENTRY;
pub use site::OTHER;
pub use site::SERVER;
pub use site::Site;
pub use site::few_descriptors;
pub use site::little_memory;
pub use site::small_machine;
