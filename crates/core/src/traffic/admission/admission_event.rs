//! What can happen to admission.

use super::AdmissionRequest;
use super::AttemptOutcome;
use super::ServerProfile;
use super::Ticket;

/// Is one input of [`super::Admission`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// A request asks for a slot.
    Arrived(AdmissionRequest),
    /// The caller of a waiting request went away.
    Cancelled(Ticket),
    /// An admitted request ended, and its slot is surely free.
    Ended {
        /// The request.
        ticket: Ticket,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// The backend server announced itself, as before or otherwise.
    ServerAnnounced(ServerProfile),
    /// The backend server is in service again after it was out.
    ServerRestored,
    /// Time has passed; sent every few milliseconds while requests wait.
    Tick,
}
