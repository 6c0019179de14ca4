//! The backend servers of a service, as placement must know them.

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::time::Moment;

use super::leader_machine::Leader;
use super::leveling::RecentMove;
use super::peer::Peer;
use crate::ownership::KeyLoad;
use crate::placement::Candidate;

/// How much a server's fill may say of its load at most: enough not to be given more, not enough to
/// lose keys. Fill is bounded by what its node lets wait, and is high for tenths of a second when other
/// work on the host slows the server down.
const FILL_SAYS: f64 = 0.8;
/// How many times as slow or fast as the usual server of its service one is taken to be at most; the
/// count of a few answers says little.
const MOST_SLOWNESS: f64 = 2.0;

impl Leader {
    pub(super) fn candidates(&self, service: &ServiceName, targets: &[NodeName]) -> Vec<Candidate> {
        let moves = self.clocks.get(service).map(|clock| clock.moves.as_slice());
        let moves = moves.unwrap_or_default();
        let usual = self.usual_pace(targets);
        targets
            .iter()
            .map(|node| self.candidate(service, node, moves, usual))
            .collect()
    }

    /// Returns when a server's heartbeats come, as a part of the time between two.
    fn phase(&self, peer: &Peer) -> f64 {
        let between = self
            .times
            .server_heartbeat
            .as_secs_f64()
            .max(f64::MIN_POSITIVE);
        let at = peer.heartbeat_at.since(Moment::default()).as_secs_f64();
        (at / between).fract()
    }

    /// Returns how long a request takes at the middle one of these servers, in seconds; 0 if not known.
    fn usual_pace(&self, targets: &[NodeName]) -> f64 {
        let peers = targets.iter().filter_map(|node| self.peers.get(node));
        let mut paces: Vec<f64> = peers
            .map(|peer| peer.pace)
            .filter(|pace| *pace > 0.0)
            .collect();
        paces.sort_by(f64::total_cmp);
        paces.get(paces.len() / 2).copied().unwrap_or_default()
    }

    /// Describes a server with the moves of the last seconds as if they were done: until the new
    /// holder has counted for a while, the requests for a range would be missing on both sides.
    fn candidate(
        &self,
        service: &ServiceName,
        node: &NodeName,
        moves: &[RecentMove],
        usual: f64,
    ) -> Candidate {
        let Some(peer) = self.peers.get(node) else {
            return Candidate::default();
        };
        let rows = self.ledgers.get(service).map(|ledger| ledger.rows());
        let own = rows.unwrap_or_default().iter().filter(|row| {
            let tenure = row.state.tenure();
            tenure.is_some_and(|tenure| tenure.node == *node)
        });
        let server = peer.member.server.as_ref();
        let slots = server.map_or(1, |server| u32::from(server.slots)).max(1);
        let moving = |load: &&KeyLoad| moves.iter().any(|recent| recent.has(&load.keys));
        let stays = peer.key_loads.iter().filter(|load| !moving(load));
        let key_loads: Vec<KeyLoad> = stays.copied().collect();
        let came = moves.iter().filter(|recent| recent.to == *node);
        let slowness = match peer.pace > 0.0 && usual > 0.0 {
            true => (peer.pace / usual).clamp(1.0 / MOST_SLOWNESS, MOST_SLOWNESS),
            false => 1.0,
        };
        let busy = key_loads.iter().map(KeyLoad::slots).sum::<f64>()
            + came.map(|recent| recent.work).sum::<f64>() * slowness;
        Candidate {
            keys: own.map(|row| row.keys.size()).sum(),
            slots,
            cold: server.is_some_and(|server| server.cold),
            load: (busy / f64::from(slots)).max(peer.fill.min(FILL_SAYS)),
            phase: self.phase(peer),
            slowness,
            key_loads,
        }
    }
}
