//! Durations and intervals of leases.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use crate::model::Granting;

/// The shortest hold for which a call is made.
const MIN_HOLD: Duration = Duration::from_millis(100);

/// The durations that make leases safe and that bound outages; see `docs/design/platform.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// The interval between a backend server's heartbeats. It is granted keys, and releases them,
    /// with the replies.
    pub server_heartbeat: Duration,
    /// How long a leader may act after the last confirmation of its leadership, and so the longest
    /// lease. The keys of a lost host are served again after this time. A backend server whose
    /// heartbeat is this late loses its keys briefly.
    pub lease: Duration,
    /// How long a leader may act on the confirmations of a majority alone while the store is
    /// unreachable. It bounds how long keys have no owner when that majority is lost for good.
    pub store_grace: Duration,
    /// The longest hold that one call requests. A node that starts waits this long before it knows
    /// what its backend server holds, since the server may still act on calls of the node's
    /// previous incarnation.
    pub max_hold: Duration,
    /// The time limit of a call that grants keys. The hold counts from the arrival of the call, so
    /// this much of each lease can't be granted.
    pub call_timeout: Duration,
    /// The interval between a node's heartbeats to its leader.
    pub node_heartbeat: Duration,
    /// How long a leader may be silent before its nodes look for another.
    pub leader_timeout: Duration,
    /// The interval between a leader's confirmations of its leadership at the store.
    pub verify_interval: Duration,
    /// The interval at which a leader rewrites its record, which lets a node without any reachable
    /// peer tell a running leader from a lost one.
    pub refresh_interval: Duration,
}

impl Default for LeaseTimes {
    fn default() -> Self {
        Self {
            // A default that the platform's settings replace; they use the same value.
            server_heartbeat: Duration::from_millis(870),
            // Four heartbeats of a backend server, which arrive about every 0.9 s.
            lease: Duration::from_millis(3_500),
            // Outages of the store last 4 to 16 s. A longer time would only delay keys whose leader
            // is lost for good together with most of the nodes.
            store_grace: Duration::from_secs(16),
            max_hold: Duration::from_millis(1_000),
            // The server runs on the same host and usually replies at once, but a full connection
            // backlog or a process short of CPU time delays it by tenths of a second.
            call_timeout: Duration::from_millis(300),
            // Three heartbeats within `leader_timeout`.
            node_heartbeat: Duration::from_millis(400),
            // Leaves two thirds of a lease to find the next leader.
            leader_timeout: Duration::from_millis(1_200),
            // Several attempts within a lease.
            verify_interval: Duration::from_millis(800),
            // Two missed rewrites amount to eight seconds. Each is one call of a few dozen bytes.
            refresh_interval: Duration::from_secs(4),
        }
    }
}

impl LeaseTimes {
    /// Returns the times of a deployment whose backend servers are granted keys in this way. All
    /// its nodes must use the same times, since a new leader waits for the leases that others
    /// granted.
    pub fn for_granting(granting: Granting, heartbeat: Duration) -> Self {
        let defaults = Self {
            server_heartbeat: heartbeat,
            ..Self::default()
        };
        match granting {
            Granting::ByHeartbeat => defaults,
            // Grants don't wait for a server's heartbeat, so a lease need only outlast the
            // replacement of a lost leader: `leader_timeout`, a claim and two node heartbeats. The
            // keys of a lost host are without an owner for a shorter time.
            Granting::ByCall => Self {
                lease: Duration::from_millis(2_400),
                ..defaults
            },
        }
    }

    /// Returns how long to wait until a lease of `span` has ended on another host, whose clock may
    /// run 3 % slower than this one.
    pub fn plus_clock_drift(span: Duration) -> Duration {
        span + span * 3 / 100
    }

    /// Returns the hold that a call sent now may request if the hold must end by `end`, or `None`
    /// if that is too short to be worth a call.
    pub fn call_hold(&self, now: Moment, end: Moment) -> Option<Duration> {
        let hold = Self::minus_clock_drift(end.since(now + self.call_timeout)).min(self.max_hold);
        (hold >= MIN_HOLD).then_some(hold)
    }

    /// Returns how much of `span` may be granted to a holder whose clock may run 3 % slower.
    pub fn minus_clock_drift(span: Duration) -> Duration {
        span * 97 / 100
    }
}
