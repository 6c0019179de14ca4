//! The state machine of one node.

mod departures;
mod followed_leader;
mod intent_poller;
mod leader_change;
mod log_entry;
mod node_profile;
mod peer_messages;
mod server_events;
mod stand_down;

pub use log_entry::LogEntry;
pub use node_profile::NodeProfile;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::model::Granting;
use crate::model::HeldRange;
use crate::model::OperatorsIntent;
use crate::model::ServerHeartbeat;
use crate::ownership::Action;
use crate::ownership::Directory;
use crate::ownership::Epoch;
use crate::ownership::Event;
use crate::ownership::Handoff;
use crate::ownership::KeyLoad;
use crate::ownership::LeaseTimes;
use crate::ownership::NodeLoad;
use crate::ownership::ServerInfo;
use crate::ownership::election::LeaderSearch;
use crate::ownership::leader::Leader;
use crate::ownership::leader::LeaderClaim;
use crate::ownership::server_grants::Lease;
use crate::ownership::server_grants::ServerTracker;
use departures::OwnDeparture;
use followed_leader::FollowedLeader;
use intent_poller::IntentPoller;
use intent_poller::LeaderContact;
use log_entry::log_event;

/// Decides for one node which leader it follows, whether it leads, and what its backend server may hold.
#[derive(Clone, Debug)]
pub struct NodeMachine {
    profile: NodeProfile,
    times: LeaseTimes,
    random: ChaCha8Rng,
    started: Moment,
    server: ServerTracker,
    server_lost: bool,
    departure: OwnDeparture,
    lease: Option<Lease>,
    followed: Option<FollowedLeader>,
    /// The newest epoch that this process has read in the store.
    read_epoch: Option<Epoch>,
    /// When the last reply of an earlier leader arrived. Initially the start of this process, since the
    /// process before it may have applied replies until then.
    prior_reply: Moment,
    /// The voters of all records seen in this process's first seconds, and where they receive datagrams.
    early_voters: Arc<BTreeMap<NodeName, SocketAddr>>,
    /// The newest epoch in which this process has stood down.
    ended_epoch: Epoch,
    directory: Directory,
    search: LeaderSearch,
    /// When voters were last asked about the leader.
    queried_at: Moment,
    leader: Option<Leader>,
    claim: Option<LeaderClaim>,
    intent: OperatorsIntent,
    intent_poller: IntentPoller,
    /// When the intent was last fetched from a peer.
    fetched_at: Moment,
    load: NodeLoad,
    key_loads: Vec<KeyLoad>,
    key_loads_sent: Moment,
    leaving: bool,
    /// The handoff and the address of the successor, until this node follows the successor.
    handoff: Option<(SocketAddr, Handoff)>,
    heartbeat_due: Moment,
    sequence: u64,
    /// The sequence numbers and send times of heartbeats that got no reply yet.
    outstanding: VecDeque<(u64, Moment)>,
    /// The sequence numbers and send times of the newest heartbeats, with or without a reply.
    sent: VecDeque<(u64, Moment)>,
    /// The state of the server that the newest heartbeat to the leader reported.
    reported: Option<(Option<ServerInfo>, Vec<HeldRange>)>,
}

impl NodeMachine {
    /// Creates the state machine of a node that knows no peers.
    pub fn new(now: Moment, profile: NodeProfile, times: LeaseTimes) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(profile.seed),
            profile,
            times,
            started: now,
            server: ServerTracker::default(),
            server_lost: false,
            departure: OwnDeparture::default(),
            lease: None,
            followed: None,
            read_epoch: None,
            prior_reply: now,
            early_voters: Arc::default(),
            ended_epoch: Epoch::default(),
            directory: Directory::default(),
            search: LeaderSearch::default(),
            queried_at: Moment::default(),
            leader: None,
            claim: None,
            intent: OperatorsIntent::default(),
            intent_poller: IntentPoller::default(),
            fetched_at: Moment::default(),
            load: NodeLoad::default(),
            key_loads: Vec::new(),
            key_loads_sent: Moment::default(),
            leaving: false,
            handoff: None,
            heartbeat_due: now,
            sequence: 0,
            outstanding: VecDeque::new(),
            sent: VecDeque::new(),
            reported: None,
        }
    }

    /// Handles one event and returns the actions that follow from it.
    pub fn step(&mut self, now: Moment, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Message(from, message) => self.handle_message(now, from, message, &mut actions),
            Event::Server(event) => self.handle_server_event(now, event, &mut actions),
            Event::HostClock(unix_ms) => self.server.record_clock(now, unix_ms),
            Event::LeaderRead(begun, read) => {
                self.handle_leader_read(now, begun, read, &mut actions)
            }
            Event::LeaderWritten(outcome) => self.handle_write(now, outcome, &mut actions),
            Event::Intent(intent) => self.set_intent(now, intent),
            Event::IntentRead(read) => {
                let contact = self.leader_contact(now);
                self.intent_poller.handle_read(now, read, contact);
            }
            Event::IntentSource(peer) => self.fetch_missing_intent(now, peer, &mut actions),
            Event::Load(load, key_loads) => {
                self.load = load;
                self.key_loads = key_loads;
            }
            Event::Shutdown => self.shut_down(now, &mut actions),
        }
        if let Some(leader) = &mut self.leader {
            let epoch = leader.record().epoch;
            for (event, detail) in leader.take_log_entries() {
                log_event(&mut actions, event, epoch, detail);
            }
        }
        self.check_leadership(now, &mut actions);
        self.call_server(now, &mut actions);
        let contact = self.leader_contact(now);
        let read = self.intent_poller.poll(now, contact);
        actions.extend(read.map(|wait| Action::ReadIntent { wait }));
        if now >= self.heartbeat_due {
            self.send_heartbeat(now, &mut actions);
        }
        let mut actions = self.deliver_to_self(now, actions);
        self.acknowledge_departure(&mut actions);
        actions
    }

    /// Returns the tables of members and owners.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the operators' intent.
    pub fn intent(&self) -> &OperatorsIntent {
        &self.intent
    }

    /// Returns the moment up to which the known intent includes every acknowledged change.
    pub fn intent_confirmed(&self) -> Moment {
        self.intent_poller.confirmed()
    }

    /// Returns the newest heartbeat of the backend server, unless the server is lost or has left.
    pub fn server(&self) -> Option<&ServerHeartbeat> {
        let usable = !self.server_lost && !self.has_server_left();
        let newest = self.server.newest();
        newest.filter(|newest| usable && newest.service == self.profile.service)
    }

    /// Returns until when the backend server is cold.
    pub fn cold_until(&self) -> Moment {
        self.server.cold_until()
    }

    /// Returns the ranges that the backend server serves, each with the end of its grant.
    pub fn serving(&self, now: Moment) -> Vec<(HeldRange, Moment)> {
        self.server.serving(now, self.lease.as_ref())
    }

    /// Tells whether keys are granted to the backend server by call.
    pub fn grants_by_call(&self) -> bool {
        self.granting() == Granting::ByCall
    }

    /// Returns when the newest heartbeat of the backend server arrived.
    pub fn server_heartbeat_at(&self) -> Option<Moment> {
        self.server.heartbeat_at()
    }

    /// Returns when the next heartbeat to the leader is due; `step` is to be called then.
    pub fn heartbeat_due(&self) -> Moment {
        self.heartbeat_due
    }

    /// Returns the voters of all records seen in this process's first seconds, and where they receive datagrams: the
    /// nodes that ran before it.
    pub fn early_voters(&self) -> Arc<BTreeMap<NodeName, SocketAddr>> {
        Arc::clone(&self.early_voters)
    }

    /// Returns when the leader that the node follows last confirmed the table of members; none if that table is
    /// still an earlier leader's.
    pub fn members_confirmed(&self) -> Option<Moment> {
        let is_current = self.directory.members_version > 0;
        self.followed.as_ref().filter(|_| is_current)?.reply_at
    }

    /// Tells whether this node is the leader.
    pub fn is_leader(&self) -> bool {
        self.leader.is_some()
    }

    /// Returns the epoch of the leader that the node follows.
    pub fn epoch(&self) -> Option<Epoch> {
        self.followed.as_ref().map(|followed| followed.record.epoch)
    }

    fn leader_contact(&self, now: Moment) -> LeaderContact {
        match () {
            () if self.is_leader() => LeaderContact::Leading,
            () if self.is_leader_responsive(now) => LeaderContact::Following,
            () => LeaderContact::Lost,
        }
    }

    fn own_name(&self) -> &NodeName {
        &self.profile.incarnation.node
    }

    /// Handles the messages that the node sends to itself, since a leader also follows itself.
    fn deliver_to_self(&mut self, now: Moment, actions: Vec<Action>) -> Vec<Action> {
        let mut remaining = Vec::new();
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            match action {
                Action::Send(to, message) if to == self.profile.control => {
                    let mut more = Vec::new();
                    self.handle_message(now, to, message, &mut more);
                    queue.extend(more);
                }
                action => remaining.push(action),
            }
        }
        remaining
    }
}
