//! How far the departure of a backend server has come.

use serde::Deserialize;
use serde::Serialize;

/// How far the departure of one incarnation of a backend server has come. Later states are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum DepartureState {
    /// It accepts no new work, by its heartbeat with this sequence number. Only a later heartbeat can take
    /// that back.
    Draining(u64),
    /// It has left. None of its heartbeats counts any more.
    Left,
}

impl DepartureState {
    /// Tells whether a heartbeat says nothing new: it was sent before the departure was announced.
    pub fn is_later_than(self, sequence: u64) -> bool {
        match self {
            Self::Draining(announced) => sequence <= announced,
            Self::Left => true,
        }
    }
}
