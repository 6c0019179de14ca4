//! Events in flight in a simulated cluster.

use quetzalrack_core::boundary::AppendOutcome;
use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::RecordId;
use quetzalrack_core::ids::SliceId;
use quetzalrack_core::ownership::PeerMessage;

/// Is an event that one incarnation of a node receives at a set time.
#[derive(Clone, Debug)]
pub enum Delivery {
    Tick,
    Poll,
    Announce,
    Resume,
    Message {
        from: usize,
        message: Box<PeerMessage>,
    },
    Appending {
        id: RecordId,
        data: Vec<u8>,
    },
    Appended {
        id: RecordId,
        outcome: AppendOutcome,
    },
    Granted {
        slice: SliceId,
        fence: Fence,
    },
    Drained {
        slice: SliceId,
        fence: Fence,
    },
}
