//! A small fault-injecting proxy for streams and datagrams; `docs/design/proof.md` says why it is
//! our own.

mod datagram_faults;
mod datagram_proxy;
mod direction_faults;
mod proxy_error;
mod stream_faults;
mod stream_proxy;
mod stream_pump;

pub use datagram_faults::DatagramFaults;
pub use datagram_proxy::DatagramProxy;
pub use direction_faults::DirectionFaults;
pub use proxy_error::ProxyError;
pub use stream_faults::StreamFaults;
pub use stream_proxy::StreamProxy;
