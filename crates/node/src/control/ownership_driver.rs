//! Runs the ownership state machine on the control thread.

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

/// Follows the control stream and executes the actions of the ownership state machine.
pub(super) struct OwnershipDriver {
    state: Ownership,
    tail: LogTail,
    next_offset: Offset,
}

impl OwnershipDriver {
    /// Creates the state machine.
    pub(super) fn open(parts: &ControlParts, seed: u64) -> Self {
        let mut config = OwnershipConfig::new(parts.member.clone(), seed);
        config.peers = parts.peers.clone();
        let stream = Stream::Control(parts.environment.clone(), parts.stage);
        Self {
            state: Ownership::open(config),
            tail: LogTail::open(stream, ControlEvent::ControlRead, LONG_POLL),
            next_offset: Offset::default(),
        }
    }

    /// Returns the state for reading.
    pub(super) fn state(&self) -> &Ownership {
        &self.state
    }

    /// Continues reading if this node has to follow the stream itself.
    pub(super) fn follow(&mut self, now: Moment, parts: &ControlParts) {
        let is_needed = self.state.needs_control_stream(now);
        self.tail.follow(is_needed, self.next_offset, parts);
    }

    /// Handles the outcome of a read.
    pub(super) fn handle_read(&mut self, now: Moment, outcome: ReadOutcome, parts: &ControlParts) {
        self.tail.record_outcome(&outcome);
        let event = match outcome {
            ReadOutcome::Entries {
                entries,
                next,
                at_end,
            } => {
                self.next_offset = next;
                OwnershipEvent::LogRead { entries, at_end }
            }
            ReadOutcome::Expired(oldest) => {
                self.next_offset = oldest;
                OwnershipEvent::LogExpired(oldest)
            }
            ReadOutcome::Unavailable => OwnershipEvent::LogUnavailable,
        };
        self.step(now, event, parts);
    }

    /// Passes one event to the state machine and executes its actions.
    pub(super) fn step(&mut self, now: Moment, event: OwnershipEvent, parts: &ControlParts) {
        for action in self.state.step(now, event) {
            self.execute(action, parts);
        }
    }

    fn execute(&self, action: OwnershipAction, parts: &ControlParts) {
        match action {
            OwnershipAction::Send { to, message } => send_message(to, &message, parts),
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
                log::info!(event = "slice_forgotten", slice:% = slice, fence:% = fence; "discarded a slice whose lease lapsed");
                parts.traffic.forget_slice(&slice, fence);
                parts
                    .board
                    .update_slices(|counts| counts.of(&slice.service).lapsed += 1);
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
            log::info!(event = "control_appended", record:% = id, outcome:? = outcome; "finished an append to the control stream");
            send_event(&inbox, OwnershipEvent::AppendFinished { id, outcome });
        });
    }
}

fn send_message(to: SocketAddr, message: &PeerMessage, parts: &ControlParts) {
    parts.link.send(to, message);
}

fn send_event(inbox: &ControlInbox, event: OwnershipEvent) {
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
            "sent a grant to the backend server"
        );
        if outcome == GrantOutcome::Taken {
            board.update_slices(|counts| counts.of(&order.slice.service).granted += 1);
        }
        send_event(
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
        log::info!(event = "slice_drained", slice:% = slice, fence:% = fence; "drained a slice");
        board.update_slices(|counts| counts.of(&slice.service).released += 1);
        send_event(&inbox, OwnershipEvent::SliceDrained { slice, fence });
    });
}

fn explain(happening: Happening, parts: &ControlParts) {
    if let Happening::GrantConfirmed { slice, waited, .. } = &happening {
        let waited = u64::from(waited.0);
        parts
            .board
            .update_slices(|counts| counts.of(&slice.service).unavailable_ms += waited);
    }
    log::info!(event = "ownership", happening:? = happening; "ownership changed, or a change was refused");
    parts.view.explanations.record(Explanation {
        at: parts.boundaries.clock.wall(),
        happening,
    });
}
