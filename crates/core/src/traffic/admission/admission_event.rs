//! Inputs of admission control.

use super::AdmissionRequest;
use super::AttemptOutcome;
use super::ServerProfile;
use super::Ticket;

/// An event that [`super::Admission`] handles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// A request asks for a slot.
    Arrived(AdmissionRequest),
    /// The caller of a waiting request disconnected.
    Cancelled(Ticket),
    /// An admitted request ended and no longer occupies its slot.
    Ended {
        /// The request's ticket.
        ticket: Ticket,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// The backend server sent an announcement, changed or not.
    ServerAnnounced(ServerProfile),
    /// The backend server is in service again after it was taken out.
    ServerRestored,
    /// Time has passed; sent every few milliseconds while requests wait.
    Tick,
}
