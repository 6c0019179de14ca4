//! The times of leases.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use crate::model::Granting;

/// The shortest hold that is worth asking for.
const SHORTEST_HOLD: Duration = Duration::from_millis(100);

/// Holds the times on which the safety of leases and the length of outages rest; see
/// `docs/design/platform.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// How often a backend server sends its heartbeat; it gets and releases keys with the answers.
    pub server_heartbeat: Duration,
    /// How long a leader may act after its leadership was last confirmed, and so the longest lease.
    /// Keys of a lost host are served again after this; a backend server whose heartbeat comes that
    /// late loses its keys for a moment.
    pub lease: Duration,
    /// How long a leader may act on the acknowledgements of a majority alone, while the store is away. It
    /// bounds how long keys stay without an owner when that majority is gone for good.
    pub store_grace: Duration,
    /// The longest hold that a call asks for. A process that starts waits as long until it knows what its
    /// server holds, since calls of the process before it may still be obeyed.
    pub max_hold: Duration,
    /// How long a call that grants keys may take: the hold counts from its arrival, so this much of each
    /// lease can't be given away.
    pub call_timeout: Duration,
    /// How often a node speaks to its leader.
    pub node_heartbeat: Duration,
    /// How long a leader may be silent before its nodes look for another.
    pub leader_timeout: Duration,
    /// How often a leader confirms its leadership at the store.
    pub verify_interval: Duration,
    /// How often a leader writes its record again, so that a node that no peer answers can tell a
    /// living leader from a lost one.
    pub refresh_interval: Duration,
}

impl Default for LeaseTimes {
    fn default() -> Self {
        Self {
            // The platform's settings say how often it is; this is what they say today.
            server_heartbeat: Duration::from_millis(870),
            // Four heartbeats of a backend server, which come about every 0.9 s.
            lease: Duration::from_millis(3_500),
            // The store's outages last 4 to 16 s. Longer would only make keys wait longer whose
            // leader is gone for good together with most of the nodes.
            store_grace: Duration::from_secs(16),
            max_hold: Duration::from_millis(1_000),
            // The server is on the same host and answers at once; a full queue of connections or a
            // starved process takes tenths of a second.
            call_timeout: Duration::from_millis(300),
            // Three tries within `leader_timeout`.
            node_heartbeat: Duration::from_millis(400),
            // Leaves two thirds of a lease to find the next leader in.
            leader_timeout: Duration::from_millis(1_200),
            // Several tries within a lease.
            verify_interval: Duration::from_millis(800),
            // Two missed ones make eight seconds; each is one call of a few dozen bytes.
            refresh_interval: Duration::from_secs(4),
        }
    }
}

impl LeaseTimes {
    /// Returns the times of a deployment whose servers are granted keys in this way. All of its nodes
    /// must have the same, since a new leader waits for the leases that others gave.
    pub fn for_granting(granting: Granting, heartbeat: Duration) -> Self {
        let usual = Self {
            server_heartbeat: heartbeat,
            ..Self::default()
        };
        match granting {
            Granting::ByHeartbeat => usual,
            // Nothing waits for a server's heartbeat, so a lease need only outlast the change of a
            // leader that is lost: `leader_timeout`, a claim, and two beats. Keys of a lost host are without
            // an owner for less.
            Granting::ByCall => Self {
                lease: Duration::from_millis(2_400),
                ..usual
            },
        }
    }

    /// Returns how long the other side of a lease of `span` must be waited for: its clock may run
    /// three hundredths slower than ours.
    pub fn plus_clock_drift(span: Duration) -> Duration {
        span + span * 3 / 100
    }

    /// Returns for how long a call that is sent now may ask, if the hold must have ended by `end`; none
    /// if that is too short to be worth a call.
    pub fn call_hold(&self, now: Moment, end: Moment) -> Option<Duration> {
        let time = Self::minus_clock_drift(end.since(now + self.call_timeout)).min(self.max_hold);
        (time >= SHORTEST_HOLD).then_some(time)
    }

    /// Returns what may be given away of `span`, for a clock that runs three hundredths slower.
    pub fn minus_clock_drift(span: Duration) -> Duration {
        span * 97 / 100
    }
}
