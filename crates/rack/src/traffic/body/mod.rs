//! Bodies that are held in blocks.

mod block;
mod payload;
mod payload_builder;
mod payload_stream;

pub(crate) use payload::Payload;
pub(crate) use payload_builder::PayloadBuilder;
pub(crate) use payload_stream::PayloadStream;
