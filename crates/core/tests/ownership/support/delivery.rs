//! What the network of fakes has in flight.

use quetzalrack_core::boundary::AppendOutcome;
use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::RecordId;
use quetzalrack_core::ids::SliceId;
use quetzalrack_core::ownership::PeerMessage;

/// Is something that happens to one life of a node at some moment.
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
