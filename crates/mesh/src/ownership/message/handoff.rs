//! A leader hands its leadership on.

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use super::LeaderRecord;
use super::NodeLife;
use crate::model::FencingToken;
use crate::model::Handover;
use crate::model::KeyRange;
use crate::model::ServerLife;

/// Says who holds a range when the leadership is handed on.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HandedRange {
    /// The service.
    pub service: ServiceName,
    /// The keys.
    pub keys: KeyRange,
    /// The holder; none if the range is free.
    pub holder: Option<HandedHolder>,
    /// What the next holder of a free range needs.
    pub handover: Option<Handover>,
}

/// Is the holder of a handed range.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HandedHolder {
    /// Its node.
    pub node: NodeName,
    /// The server's life, if known.
    pub server: Option<ServerLife>,
    /// The token.
    pub fence: FencingToken,
    /// For how many milliseconds more its lease may last.
    pub left: u32,
    /// Whether it is to release the range.
    pub leaving: bool,
}

/// Is everything that a leader knows, for its successor. Whoever sends it never acts again, so a
/// late one can only come too late.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Handoff {
    /// The successor; a later process of its node is none.
    pub to: NodeLife,
    /// A beat of the successor that had come when this was written: on the successor's clock, what
    /// follows was true at some time after it was sent.
    pub sequence: u64,
    /// The record that names the successor.
    pub record: LeaderRecord,
    /// Where the leader's topic ends.
    pub end: u64,
    /// The highest token that was given.
    pub fence: FencingToken,
    /// For how many milliseconds more the voters' acknowledgements count without the store.
    pub storeless: u32,
    /// All keys of all services that are divided by key.
    pub ranges: Vec<HandedRange>,
}
