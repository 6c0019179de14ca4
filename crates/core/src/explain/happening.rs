//! Events that a node records, each with its typed reason.

use serde::Deserialize;
use serde::Serialize;

use super::GrantReason;
use super::LapseReason;
use super::MoveReason;
use super::StandDownReason;
use super::WithdrawReason;
use crate::ids::Fence;
use crate::ids::Incarnation;
use crate::ids::KeyHash;
use crate::ids::NodeName;
use crate::ids::Rank;
use crate::ids::RequestId;
use crate::ids::RouteName;
use crate::ids::ServiceName;
use crate::ids::SliceId;
use crate::ids::Term;
use crate::intent::IntentHappening;
use crate::time::Milliseconds;
use crate::traffic::refusal::RefusalCode;
use crate::traffic::refusal::WorkOutcome;

/// An event that a node records, with the reason in its fields.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Happening {
    /// This node appended a claim of a term to the log.
    TermClaimed {
        /// The term.
        term: Term,
        /// The node it names as controller.
        controller: NodeName,
    },
    /// A claim won its term in log order.
    TermWon {
        /// The term.
        term: Term,
        /// The node it names as controller.
        controller: NodeName,
    },
    /// This node began to collect acknowledgements from a majority of voters.
    TakeoverBegun {
        /// Its term.
        term: Term,
        /// Its rank.
        rank: Rank,
    },
    /// This node gained a majority of voters and became the controller.
    ControllerEstablished {
        /// Its term.
        term: Term,
        /// Its rank.
        rank: Rank,
    },
    /// This node is no longer the controller and won't be again under that term and rank.
    ControllerStoodDown {
        /// Its term.
        term: Term,
        /// Its rank.
        rank: Rank,
        /// Why.
        reason: StandDownReason,
    },
    /// This node follows another controller from now on.
    ControllerAdopted {
        /// The controller's term.
        term: Term,
        /// The controller's rank.
        rank: Rank,
        /// The controller.
        controller: NodeName,
    },
    /// A node joined the cluster, or rejoined it after a restart.
    MemberJoined {
        /// The node.
        node: NodeName,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// A node has been silent for so long that it no longer counts as a member.
    MemberLost {
        /// The node.
        node: NodeName,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// The controller granted a slice.
    SliceGranted {
        /// The slice.
        slice: SliceId,
        /// The grant.
        fence: Fence,
        /// The holder.
        node: NodeName,
        /// Why a grant was due.
        reason: GrantReason,
    },
    /// The holder confirmed a grant, which is the assignment's acknowledgement.
    GrantConfirmed {
        /// The slice.
        slice: SliceId,
        /// The grant.
        fence: Fence,
        /// The holder.
        node: NodeName,
        /// How long no holder was known: since the previous holder's last heartbeat or since
        /// the controller took over, whichever this controller knows.
        waited: Milliseconds,
    },
    /// This node did not accept a grant.
    GrantWithdrawn {
        /// The slice.
        slice: SliceId,
        /// The grant.
        fence: Fence,
        /// Why.
        reason: WithdrawReason,
    },
    /// The controller ordered a slice to move.
    MoveOrdered {
        /// The slice.
        slice: SliceId,
        /// The grant to be handed over.
        fence: Fence,
        /// The holder.
        from: NodeName,
        /// The next holder.
        to: Option<NodeName>,
        /// Why.
        reason: MoveReason,
    },
    /// This node released a slice after its last request.
    SliceReleased {
        /// The slice.
        slice: SliceId,
        /// The grant.
        fence: Fence,
    },
    /// This node stopped serving a slice without a handover.
    LeaseLapsed {
        /// The slice.
        slice: SliceId,
        /// The grant.
        fence: Fence,
        /// Why.
        reason: LapseReason,
    },
    /// The controller considers a silent holder's lease lapsed and waits until a majority of
    /// voters has confirmed the controller.
    HolderSilent {
        /// The slice.
        slice: SliceId,
        /// The grant.
        fence: Fence,
        /// The holder.
        node: NodeName,
    },
    /// Nobody reported a slice to a new controller in time, so it waits two lease times.
    SliceUnreported {
        /// The slice.
        slice: SliceId,
    },
    /// A hot key became a slice of its own.
    KeySplit {
        /// The new slice.
        slice: SliceId,
        /// The key.
        key: KeyHash,
        /// Its rate in requests per second.
        rate: u32,
    },
    /// A key that is no longer hot returned to the slice of its hash.
    KeyMerged {
        /// The slice it had.
        slice: SliceId,
        /// The key.
        key: KeyHash,
    },
    /// A caller's request was refused by the node that received it.
    RequestRefused {
        /// The request.
        request: RequestId,
        /// The service.
        service: ServiceName,
        /// The route.
        route: RouteName,
        /// Why, as the caller was told.
        code: RefusalCode,
        /// Whether the work may have run.
        outcome: WorkOutcome,
        /// How long the caller had waited, in milliseconds.
        waited_ms: u64,
    },
    /// A document changes the number of a service's slices, which is not applied.
    DivisionKept {
        /// The service.
        service: ServiceName,
        /// The number in use.
        slices: u32,
        /// The number in the document.
        wanted: u32,
    },
    /// The replay of the intent stream reached a verdict.
    Intent(IntentHappening),
}

impl From<IntentHappening> for Happening {
    fn from(happening: IntentHappening) -> Self {
        Self::Intent(happening)
    }
}
