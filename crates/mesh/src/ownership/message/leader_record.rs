//! The record that names the leader.

use std::net::SocketAddr;

use quetzalrack_core::ids::NodeName;
use serde::Deserialize;
use serde::Serialize;

use super::Epoch;
use super::NodeIncarnation;
use super::ServerDeparture;

/// A node whose confirmation counts towards the leader's majority. Only the backend servers of voters
/// may hold keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Voter {
    /// The node.
    pub node: NodeName,
    /// Where it receives datagrams.
    pub control: SocketAddr,
}

/// The record of a leadership in the store; the newest one names the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The epoch.
    pub epoch: Epoch,
    /// The leader.
    pub leader: NodeIncarnation,
    /// Where the leader receives datagrams.
    pub control: SocketAddr,
    /// The nodes whose servers may hold keys. A leader changes them only after it has accounted for all
    /// keys, so that the next leader finds every possible holder here.
    pub voters: Vec<Voter>,
    /// Whether this leader has accounted for all keys. Until then the grants of its predecessor may still
    /// be in force.
    pub takeover_complete: bool,
    /// Whether confirmations by the store alone let the leader act. If not, it needs a majority of the
    /// voters, and the next leader need not wait for leases based on confirmations by the store.
    pub store_suffices: bool,
    /// The recent departures of servers, one for each node, in the order of the nodes. Their acknowledgements
    /// bind whatever processes run later, so the next leader takes them over from here.
    pub departures: Vec<ServerDeparture>,
}

/// An empty list of departures, as it is encoded.
const NO_DEPARTURES: [u8; 1] = [0];

impl LeaderRecord {
    /// Tells whether a node is a voter.
    pub fn has_voter(&self, node: &NodeName) -> bool {
        self.voters.iter().any(|voter| voter.node == *node)
    }

    /// Returns how many voters make a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the departure of the server beside a node.
    pub fn departure_of(&self, node: &NodeName) -> Option<&ServerDeparture> {
        let index = self.departures.binary_search_by(|d| d.node.cmp(node));
        self.departures.get(index.ok()?)
    }

    /// Returns the record as other nodes are told of it, without what only the next leader needs.
    pub fn announcement(&self) -> Self {
        Self {
            departures: Vec::new(),
            ..self.clone()
        }
    }

    /// Encodes the record for the store.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_allocvec(self)
    }

    /// Decodes a record from the store. One that a process of an earlier version wrote ends before the
    /// departures.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        match postcard::from_bytes(bytes) {
            Err(postcard::Error::DeserializeUnexpectedEnd) => {
                postcard::from_bytes(&[bytes, &NO_DEPARTURES].concat())
            }
            decoded => decoded,
        }
    }
}
