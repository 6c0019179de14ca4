//! A request under way at a server.

use super::ContentDigest;
use super::ServerEnd;
use super::ServerLife;
use crate::ids::RouteName;
use crate::time::Moment;

/// A request under way at a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningRequest {
    /// When it was written.
    pub begun: Moment,
    /// The server that got it.
    pub server: ServerLife,
    /// What it asks for.
    pub content: ContentDigest,
    /// Its route.
    pub route: RouteName,
    /// The ends of servers under its content that were known when it was sent.
    pub known: Vec<ServerEnd>,
    /// Whether it is the only suspect at the server, so that the server's end convicts.
    pub is_last_trial: bool,
    /// Whether the server has ended under it.
    pub ended: bool,
}
