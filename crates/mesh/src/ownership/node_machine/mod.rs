//! The control of one node.

mod ending;
mod finding;
mod follower;
mod following;
mod intent_watch;
mod node_profile;
mod note;
mod serving;

pub use node_profile::NodeProfile;
pub use note::Note;

use std::collections::VecDeque;
use std::net::SocketAddr;

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
use crate::ownership::ServerCard;
use crate::ownership::election::LeaderSearch;
use crate::ownership::holder::Lease;
use crate::ownership::holder::ServerWatch;
use crate::ownership::leader::Leader;
use crate::ownership::leader::LeaderClaim;
use follower::Following;
use intent_watch::IntentWatch;
use intent_watch::Reliance;
use note::note;

/// Decides for one node whom it follows, whether it leads, and what its backend server may hold.
#[derive(Clone, Debug)]
pub struct NodeMachine {
    profile: NodeProfile,
    times: LeaseTimes,
    random: ChaCha8Rng,
    started: Moment,
    server: ServerWatch,
    server_gone: bool,
    lease: Option<Lease>,
    following: Option<Following>,
    /// The newest epoch that this process has read in the store.
    read_epoch: Option<Epoch>,
    /// When an order of an earlier leader was last obeyed; the start of this process at first, since
    /// an earlier one may have obeyed until then.
    obeyed: Moment,
    /// Epochs up to this one are over for this process.
    stood_down: Epoch,
    directory: Directory,
    search: LeaderSearch,
    asked: Moment,
    leader: Option<Leader>,
    claim: Option<LeaderClaim>,
    intent: OperatorsIntent,
    intent_watch: IntentWatch,
    fetched: Moment,
    load: NodeLoad,
    key_loads: Vec<KeyLoad>,
    key_loads_sent: Moment,
    leaving: bool,
    /// What is handed on, until its receiver is followed.
    handing: Option<(SocketAddr, Handoff)>,
    beat_due: Moment,
    sequence: u64,
    outstanding: VecDeque<(u64, Moment)>,
    /// When the newest beats were sent, answered or not.
    sent: VecDeque<(u64, Moment)>,
    told: Option<(Option<ServerCard>, Vec<HeldRange>)>,
}

impl NodeMachine {
    /// Starts a node that knows nobody.
    pub fn new(now: Moment, profile: NodeProfile, times: LeaseTimes) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(profile.seed),
            profile,
            times,
            started: now,
            server: ServerWatch::default(),
            server_gone: false,
            lease: None,
            following: None,
            read_epoch: None,
            obeyed: now,
            stood_down: Epoch::default(),
            directory: Directory::default(),
            search: LeaderSearch::default(),
            asked: Moment::default(),
            leader: None,
            claim: None,
            intent: OperatorsIntent::default(),
            intent_watch: IntentWatch::default(),
            fetched: Moment::default(),
            load: NodeLoad::default(),
            key_loads: Vec::new(),
            key_loads_sent: Moment::default(),
            leaving: false,
            handing: None,
            beat_due: now,
            sequence: 0,
            outstanding: VecDeque::new(),
            sent: VecDeque::new(),
            told: None,
        }
    }

    /// Takes one event and returns what follows from it.
    pub fn step(&mut self, now: Moment, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Message(from, message) => self.take(now, from, message, &mut actions),
            Event::Server(event) => self.hear_server(now, event, &mut actions),
            Event::Read(asked, read) => self.learn_read(now, asked, read, &mut actions),
            Event::Wrote(outcome) => self.learn_write(now, outcome, &mut actions),
            Event::Intent(intent) => self.set_intent(now, intent),
            Event::IntentRead(read) => {
                let reliance = self.reliance(now);
                self.intent_watch.ended(now, read, reliance);
            }
            Event::Neighbour(address) => self.meet(now, address, &mut actions),
            Event::Load(load, key_loads) => {
                self.load = load;
                self.key_loads = key_loads;
            }
            Event::Shutdown => self.shut_down(now, &mut actions),
        }
        if let Some(leader) = &mut self.leader {
            let epoch = leader.record().epoch;
            for (event, detail) in leader.take_notes() {
                note(&mut actions, event, epoch, detail);
            }
        }
        self.stand_down_if_over(now, &mut actions);
        self.call_server(now, &mut actions);
        let reliance = self.reliance(now);
        let read = self.intent_watch.step(now, reliance);
        actions.extend(read.map(|wait| Action::ReadIntent { wait }));
        if now >= self.beat_due {
            self.beat(now, &mut actions);
        }
        self.deliver_own(now, actions)
    }

    /// Returns what is known of all nodes.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the operators' intent.
    pub fn intent(&self) -> &OperatorsIntent {
        &self.intent
    }

    /// Returns up to when the operators' intent holds all that was acknowledged.
    pub fn intent_confirmed(&self) -> Moment {
        self.intent_watch.confirmed()
    }

    /// Returns the newest heartbeat of the backend server, unless that is gone.
    pub fn server(&self) -> Option<&ServerHeartbeat> {
        let usable = !self.server_gone && !self.server.has_left();
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

    /// Tells whether the backend server is granted its keys by call.
    pub fn calls_server(&self) -> bool {
        self.granting() == Granting::ByCall
    }

    /// Returns when the backend server was heard last.
    pub fn server_heard_at(&self) -> Option<Moment> {
        self.server.heard_at()
    }

    /// Returns when the node speaks to its leader next; `step` is to be called then.
    pub fn beat_due(&self) -> Moment {
        self.beat_due
    }

    /// Tells whether this node leads.
    pub fn leads(&self) -> bool {
        self.leader.is_some()
    }

    /// Returns the epoch that the node follows.
    pub fn epoch(&self) -> Option<Epoch> {
        self.following
            .as_ref()
            .map(|following| following.record.epoch)
    }

    fn reliance(&self, now: Moment) -> Reliance {
        match () {
            () if self.leads() => Reliance::Leads,
            () if self.hears_leader(now) => Reliance::Follows,
            () => Reliance::Nobody,
        }
    }

    fn me(&self) -> &NodeName {
        &self.profile.life.node
    }

    /// Gives the node's messages to itself at once: as a leader it is its own follower.
    fn deliver_own(&mut self, now: Moment, actions: Vec<Action>) -> Vec<Action> {
        let mut done = Vec::new();
        let mut waiting = VecDeque::from(actions);
        while let Some(action) = waiting.pop_front() {
            match action {
                Action::Send(to, message) if to == self.profile.control => {
                    let mut more = Vec::new();
                    self.take(now, to, message, &mut more);
                    waiting.extend(more);
                }
                action => done.push(action),
            }
        }
        done
    }
}
