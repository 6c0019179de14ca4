//! The ownership half of the control thread.

use std::net::SocketAddr;
use std::time::Duration;

use quetzalrack_core::boundary::GrantOrder;
use quetzalrack_core::boundary::GrantOutcome;
use quetzalrack_core::boundary::ReadOutcome;
use quetzalrack_core::boundary::Stream;
use quetzalrack_core::cluster::Member;
use quetzalrack_core::explain::Explanation;
use quetzalrack_core::explain::Happening;
use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::Offset;
use quetzalrack_core::ids::RecordId;
use quetzalrack_core::ids::SliceId;
use quetzalrack_core::ownership::Ownership;
use quetzalrack_core::ownership::OwnershipAction;
use quetzalrack_core::ownership::OwnershipConfig;
use quetzalrack_core::ownership::OwnershipEvent;
use quetzalrack_core::ownership::PeerMessage;
use quetzalrack_core::time::Moment;

use super::ControlEvent;
use super::ControlInbox;
use super::ControlParts;
use super::log_tail::LogTail;

/// How long one read waits at the log service for a record.
const LONG_POLL: Duration = Duration::from_secs(10);

/// Runs the ownership state machine and carries out what it asks.
pub(super) struct OwnershipSide {
    state: Ownership,
    tail: LogTail,
    next: Offset,
}

impl OwnershipSide {
    /// Opens the state machine.
    pub(super) fn open(parts: &ControlParts, seed: u64) -> Self {
        let mut config = OwnershipConfig::new(parts.member.clone(), seed);
        config.peers = parts.peers.clone();
        let stream = Stream::Control(parts.environment.clone(), parts.stage);
        Self {
            state: Ownership::open(config),
            tail: LogTail::open(stream, ControlEvent::ControlRead, LONG_POLL),
            next: Offset::default(),
        }
    }

    /// Returns the state, for those who only look.
    pub(super) fn state(&self) -> &Ownership {
        &self.state
    }

    /// Reads on while this node has to follow the stream itself.
    pub(super) fn follow(&mut self, now: Moment, parts: &ControlParts) {
        let is_needed = self.state.needs_control_stream(now);
        self.tail.follow(is_needed, self.next, parts);
    }

    /// Takes the outcome of a read.
    pub(super) fn take_read(&mut self, now: Moment, outcome: ReadOutcome, parts: &ControlParts) {
        self.tail.note_outcome(&outcome);
        let event = match outcome {
            ReadOutcome::Entries {
                entries,
                next,
                at_end,
            } => {
                self.next = next;
                OwnershipEvent::LogRead { entries, at_end }
            }
            ReadOutcome::Expired(oldest) => {
                self.next = oldest;
                OwnershipEvent::LogExpired(oldest)
            }
            ReadOutcome::Unavailable => OwnershipEvent::LogUnavailable,
        };
        self.step(now, event, parts);
    }

    /// Gives the state machine one event and does what it asks.
    pub(super) fn step(&mut self, now: Moment, event: OwnershipEvent, parts: &ControlParts) {
        for action in self.state.step(now, event) {
            self.carry_out(action, parts);
        }
    }

    fn carry_out(&self, action: OwnershipAction, parts: &ControlParts) {
        match action {
            OwnershipAction::Send { to, message } => send(to, &message, parts),
            OwnershipAction::Append { id, data } => self.append(id, data, parts),
            OwnershipAction::GrantServer {
                slice,
                fence,
                previous,
            } => grant_server(slice, fence, previous, parts),
            OwnershipAction::DrainSlice {
                slice,
                fence,
                successor,
            } => drain_slice(slice, fence, successor, parts),
            OwnershipAction::ForgetSlice { slice, fence } => {
                log::info!(event = "slice_forgotten", slice:% = slice, fence:% = fence; "a lease lapsed");
                parts.traffic.forget_slice(&slice, fence);
                parts
                    .board
                    .count_slices(|counts| counts.of(&slice.service).lapsed += 1);
            }
            OwnershipAction::PublishLeases(leases) => parts.view.leases.store(leases),
            OwnershipAction::PublishRouting(routing) => parts.view.routing.store(routing),
            OwnershipAction::Explain(happening) => explain(happening, parts),
            OwnershipAction::ShutdownComplete => {
                log::info!(event = "slices_released"; "every slice is released");
                parts.released.send_replace(true);
            }
        }
    }

    fn append(&self, id: RecordId, data: Vec<u8>, parts: &ControlParts) {
        let log = parts.boundaries.log.clone();
        let stream = self.tail.stream().clone();
        let inbox = parts.inbox.clone();
        parts.runtime.spawn(async move {
            let outcome = log.append(&stream, data).await;
            log::info!(event = "control_appended", record:% = id, outcome:? = outcome; "an append to the control stream ended");
            answer(&inbox, OwnershipEvent::AppendFinished { id, outcome });
        });
    }
}

fn send(to: SocketAddr, message: &PeerMessage, parts: &ControlParts) {
    parts.link.send(to, message);
}

fn answer(inbox: &ControlInbox, event: OwnershipEvent) {
    inbox.send(ControlEvent::Ownership(Box::new(event)));
}

fn grant_server(slice: SliceId, fence: Fence, previous: Option<Fence>, parts: &ControlParts) {
    parts.traffic.prepare_slice(&slice, fence, previous);
    let backend = parts.boundaries.backend.clone();
    let board = parts.board.clone();
    let inbox = parts.inbox.clone();
    parts.runtime.spawn(async move {
        let order = GrantOrder { slice, fence };
        let outcome = backend.grant(&order).await;
        log::info!(
            event = "server_granted",
            slice:% = order.slice,
            fence:% = fence,
            outcome:? = outcome;
            "a grant was passed to the backend server"
        );
        if outcome == GrantOutcome::Taken {
            board.count_slices(|counts| counts.of(&order.slice.service).granted += 1);
        }
        answer(
            &inbox,
            OwnershipEvent::GrantAnswered {
                slice: order.slice,
                fence,
                outcome,
            },
        );
    });
}

fn drain_slice(slice: SliceId, fence: Fence, successor: Option<Member>, parts: &ControlParts) {
    let traffic = parts.traffic.clone();
    let board = parts.board.clone();
    let inbox = parts.inbox.clone();
    parts.runtime.spawn(async move {
        traffic.drain_slice(&slice, fence, successor.as_ref()).await;
        log::info!(event = "slice_drained", slice:% = slice, fence:% = fence; "a slice was handed over");
        board.count_slices(|counts| counts.of(&slice.service).released += 1);
        answer(&inbox, OwnershipEvent::SliceDrained { slice, fence });
    });
}

fn explain(happening: Happening, parts: &ControlParts) {
    if let Happening::GrantConfirmed { slice, waited, .. } = &happening {
        let waited = u64::from(waited.0);
        parts
            .board
            .count_slices(|counts| counts.of(&slice.service).unavailable_ms += waited);
    }
    log::info!(event = "ownership", happening:? = happening; "ownership changed or was refused");
    parts.view.explanations.record(Explanation {
        at: parts.boundaries.clock.wall(),
        happening,
    });
}
