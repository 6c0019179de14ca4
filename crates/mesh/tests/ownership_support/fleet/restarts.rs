//! Servers that crash and start again beside processes that end.

use std::time::Duration;

use quetzalrack_mesh::model::ServerHeartbeat;

use super::Fleet;
use super::KEYED;
use super::SimEvent;
use super::service;

/// The time from the crash of a server to its next start.
const DOWNTIME: Duration = Duration::from_millis(300);
/// The time until the next incarnation has been granted keys, if none were granted before.
const GRANTED_AFTER: Duration = Duration::from_secs(8);
/// The time until a killed process runs again.
const RESTART: Duration = Duration::from_millis(100);
/// The time from the crash of a server to its next start, and the times at which its last two heartbeats arrive.
const SHORT_DOWNTIME: Duration = Duration::from_millis(150);
const LATE_HEARTBEATS: [Duration; 2] = [Duration::from_millis(160), Duration::from_millis(170)];
/// How often a heartbeat is sent again until a process takes it.
const RETRY: Duration = Duration::from_millis(2);

impl Fleet {
    /// Lets a server crash and start again while a heartbeat of it is on its way, which reaches the process
    /// that runs after the one beside the server has been killed.
    pub fn restart_server(&mut self, at: Duration) {
        self.schedule(at, SimEvent::ServerCrashes);
    }

    pub(super) fn crash_server(&mut self) {
        let index = (0..self.nodes.len())
            .find(|index| service(*index) == KEYED)
            .unwrap();
        let mut server = self.nodes[index].server.take().unwrap();
        let late = server.heartbeat(self.now);
        self.schedule(DOWNTIME, SimEvent::StartServer(index));
        let delay = GRANTED_AFTER + self.random_delay(900);
        self.schedule(delay, SimEvent::KillBeside(index, late));
    }

    /// Lets a server crash and start again while its last two heartbeats are on their way, which arrive once its
    /// next incarnation listens.
    pub fn restart_server_unheard(&mut self, at: Duration) {
        self.schedule(at, SimEvent::ServerCrashesUnheard);
    }

    pub(super) fn crash_unheard(&mut self) {
        let leader = self.leader();
        let index = (0..self.nodes.len())
            .find(|index| service(*index) == KEYED && Some(*index) != leader)
            .unwrap();
        let mut server = self.nodes[index].server.take().unwrap();
        for delay in LATE_HEARTBEATS {
            let late = server.heartbeat(self.now);
            self.schedule(delay, SimEvent::DeliverLate(index, late));
        }
        self.schedule(SHORT_DOWNTIME, SimEvent::StartServer(index));
    }

    pub(super) fn kill_beside(&mut self, index: usize, late: ServerHeartbeat) {
        self.nodes[index].machine = None;
        self.schedule(RESTART, SimEvent::StartNode(index));
        self.deliver_late(index, late);
    }

    /// Delivers a heartbeat to the next process that runs.
    pub(super) fn deliver_late(&mut self, index: usize, late: ServerHeartbeat) {
        match self.nodes[index].machine.is_some() {
            true => self.handle(SimEvent::HeartbeatReceived(index, late)),
            false => self.schedule(RETRY, SimEvent::DeliverLate(index, late)),
        }
    }
}
