//! Clients that don't behave: crowds of connections and bodies at processes whose memory and
//! descriptors are limited. What is checked doesn't depend on the machine's speed: every process
//! lives, stays within the memory and the descriptors of its settings, and an ordinary request is
//! answered. One crowd plays at a time.
#![allow(clippy::unwrap_used, clippy::panic)]

#[path = "../system/support/mod.rs"]
mod support;

mod bodies;
mod calm;
mod crowd;
mod descriptors;
mod heads;
mod hops;
mod oversize;
mod ports;
mod refusals;
mod servers;
mod unread;
