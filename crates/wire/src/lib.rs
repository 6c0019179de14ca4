//! Messages between quetzalrack's processes, and their codecs.

pub mod access;
pub mod calls;
pub mod datagram;
pub mod headers;
pub mod status;
