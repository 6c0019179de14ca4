//! Outputs of admission control.

use super::Ticket;
use crate::traffic::refusal::RefusalCode;

/// An action that [`super::Admission`] requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// The request has a slot and may be sent.
    Admit(Ticket),
    /// The request is refused; no part of it was sent.
    Refuse(Ticket, RefusalCode),
}
