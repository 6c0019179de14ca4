//! The control of one node.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::ids::ZoneName;
use quetzalrack_core::time::Moment;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Action;
use super::Beat;
use super::Directory;
use super::Epoch;
use super::Event;
use super::Handoff;
use super::HeartbeatAnswer;
use super::KeyLoad;
use super::LeaderRead;
use super::LeaderRecord;
use super::LeaseTimes;
use super::Member;
use super::NodeLife;
use super::NodeLoad;
use super::Order;
use super::PeerMessage;
use super::ServerCard;
use super::ServerWord;
use super::election::Search;
use super::election::Verdict;
use super::holder::Lease;
use super::holder::ServerWatch;
use super::leader::Leader;
use super::leader::LeaderStart;
use crate::boundary::AppendOutcome;
use crate::model::HeldRange;
use crate::model::OperatorsIntent;
use crate::model::ServerHeartbeat;

/// How soon a node speaks again when its leader does not know yet what its server holds.
const SOON: Duration = Duration::from_millis(60);
/// How many unanswered beats are remembered.
const BEATS_KEPT: usize = 16;
/// How often other nodes are asked whether they hear the leader.
const ASK_PAUSE: Duration = Duration::from_millis(400);
/// How often a peer that has read further in the operators' intent is asked for it.
const FETCH_PAUSE: Duration = Duration::from_millis(300);
/// How often the load of the keys is sent; it is the longest part of a beat.
const KEY_LOADS_PAUSE: Duration = Duration::from_millis(1_000);
/// How many heartbeats a backend server may miss until nothing is granted to it.
const MISSED_HEARTBEATS: u32 = 3;

/// Is what a node knows of itself at its start.
#[derive(Clone, Debug)]
pub struct NodeProfile {
    /// The node and its process.
    pub life: NodeLife,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it takes datagrams.
    pub control: SocketAddr,
    /// Where it takes requests from other nodes.
    pub traffic: SocketAddr,
    /// The service of its backend server.
    pub service: ServiceName,
    /// How often its backend server sends a heartbeat.
    pub heartbeat: Duration,
    /// Seeds what is chosen at random.
    pub seed: u64,
}

/// Is a line for the log: what the node believes from now on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// What happened, as a short constant.
    pub event: &'static str,
    /// The epoch that it concerns.
    pub epoch: Epoch,
    /// The inputs that decided it.
    pub detail: String,
}

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
    /// Epochs up to this one are over for this process.
    stood_down: Epoch,
    directory: Directory,
    search: Search,
    asked: Moment,
    leader: Option<Leader>,
    claim: Option<LeaderStart>,
    intent: OperatorsIntent,
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

#[derive(Clone, Debug)]
struct Following {
    record: LeaderRecord,
    since: Moment,
    heard: Option<Moment>,
    /// The stamp of the newest order.
    stamp: Option<u64>,
    resigned: bool,
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
            stood_down: Epoch::default(),
            directory: Directory::default(),
            search: Search::default(),
            asked: Moment::default(),
            leader: None,
            claim: None,
            intent: OperatorsIntent::default(),
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
            Event::Server(word) => self.hear_server(now, word, &mut actions),
            Event::Read(asked, read) => self.learn_read(now, asked, read, &mut actions),
            Event::Wrote(outcome) => self.learn_write(now, outcome, &mut actions),
            Event::Intent(intent) => self.set_intent(now, intent),
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
        self.server.serving(now)
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

    fn me(&self) -> &NodeName {
        &self.profile.life.node
    }

    fn tick(&mut self, now: Moment, actions: &mut Vec<Action>) {
        if let Some(leader) = &mut self.leader {
            leader.tick(now, actions);
            return;
        }
        self.send_handoff(actions);
        if self.hears_leader(now) {
            self.search.stop();
            return;
        }
        self.ask_others(now, actions);
        let roll = self.random.random();
        let node = self.profile.life.node.clone();
        match self.search.step(now, &node, &self.times, roll) {
            Verdict::Wait => {}
            Verdict::Read => actions.push(Action::ReadLeader),
            Verdict::Claim { end, last } => self.claim(now, end, last, actions),
        }
    }

    fn hears_leader(&self, now: Moment) -> bool {
        self.following.as_ref().is_some_and(|following| {
            let last = following.heard.unwrap_or(following.since);
            !following.resigned && now.since(last) < self.times.suspect
        })
    }

    fn ask_others(&mut self, now: Moment, actions: &mut Vec<Action>) {
        let Some(following) = &self.following else {
            return;
        };
        if now.since(self.asked) < ASK_PAUSE {
            return;
        }
        self.asked = now;
        let record = &following.record;
        let others = record
            .voters
            .iter()
            .filter(|voter| voter.node != *self.me());
        for voter in others {
            let ask = PeerMessage::Ask {
                from: self.profile.life.clone(),
                epoch: record.epoch,
            };
            actions.push(Action::Send(voter.control, ask));
        }
    }

    fn claim(
        &mut self,
        now: Moment,
        end: u64,
        last: Option<LeaderRecord>,
        actions: &mut Vec<Action>,
    ) {
        if self.claim.is_some() || self.leaving {
            return;
        }
        let epoch = last
            .as_ref()
            .map_or(Epoch::default(), |last| last.epoch)
            .next_claim();
        let voters = last
            .as_ref()
            .map(|last| last.voters.clone())
            .unwrap_or_default();
        let record = LeaderRecord {
            epoch,
            leader: self.profile.life.clone(),
            control: self.profile.control,
            voters,
            complete: false,
        };
        note(actions, "claim", epoch, format!("topic ends at {end}"));
        actions.push(Action::WriteLeader {
            end,
            record: record.clone(),
        });
        self.claim = Some(LeaderStart {
            record,
            last,
            end: end + 1,
            sent: now,
        });
    }

    fn learn_write(&mut self, now: Moment, outcome: AppendOutcome, actions: &mut Vec<Action>) {
        if let Some(leader) = &mut self.leader {
            leader.wrote(outcome);
            return;
        }
        match outcome {
            AppendOutcome::Appended => {
                if let Some(start) = self.claim.take() {
                    self.lead(now, start, actions);
                }
            }
            AppendOutcome::Overtaken | AppendOutcome::Refused => {
                self.claim = None;
                self.search.stop();
            }
            // It may stand or land later; the next reads tell.
            AppendOutcome::Unknown => self.search.stop(),
        }
    }

    fn lead(&mut self, now: Moment, start: LeaderStart, actions: &mut Vec<Action>) {
        let epoch = start.record.epoch;
        note(
            actions,
            "leads",
            epoch,
            format!("{} voters", start.record.voters.len()),
        );
        self.follow(now, start.record.clone(), actions);
        let directory = &self.directory;
        let intent = self.intent.clone();
        let leader = Leader::new(now, start, directory, intent, self.times);
        // The directory's versions are another leader's; its content is this one's start.
        self.leader = Some(leader);
        self.call_all(actions);
    }

    fn learn_read(
        &mut self,
        now: Moment,
        asked: Moment,
        read: LeaderRead,
        actions: &mut Vec<Action>,
    ) {
        if let LeaderRead::Newest(Some(record), _) = &read {
            self.read_epoch = self.read_epoch.max(Some(record.epoch));
        }
        if let Some(leader) = &mut self.leader {
            leader.read(asked, read);
            return;
        }
        let LeaderRead::Newest(record, end) = read else {
            self.search.failed();
            return;
        };
        self.search.learn(now, record.clone(), end);
        let Some(record) = record else {
            return;
        };
        if let Some(start) = self
            .claim
            .take_if(|start| start.record.epoch <= record.epoch)
            && start.record == record
        {
            // Our claim's answer was lost; it stood when this was asked.
            let start = LeaderStart {
                sent: asked,
                end,
                ..start
            };
            self.lead(now, start, actions);
            return;
        }
        self.follow(now, record, actions);
    }

    /// Follows the leader of a later epoch.
    fn follow(&mut self, now: Moment, record: LeaderRecord, actions: &mut Vec<Action>) {
        let epoch = record.epoch;
        let known = self
            .following
            .as_ref()
            .map(|following| following.record.epoch);
        if known.is_some_and(|known| known >= epoch) {
            return;
        }
        note(
            actions,
            "follows",
            epoch,
            format!("leader {}", record.leader),
        );
        // What the earlier leader answers from now on is void, or this node could count for both.
        self.outstanding.clear();
        self.directory.follow(epoch);
        // A record that names an earlier process of this very node names nobody who lives.
        let leader = &record.leader;
        let dead = leader.node == self.profile.life.node && *leader != self.profile.life;
        self.following = Some(Following {
            record,
            since: now,
            heard: None,
            stamp: None,
            resigned: dead,
        });
        self.search.stop();
        self.beat_due = now;
    }

    fn stand_down_if_over(&mut self, now: Moment, actions: &mut Vec<Action>) {
        let Some(leader) = &self.leader else {
            return;
        };
        let epoch = leader.record().epoch;
        let followed = self.epoch().is_some_and(|followed| followed > epoch);
        let why = match () {
            () if followed => "a later leader is followed",
            () if leader.is_overtaken() => "a later claim stands in the store",
            () if leader.has_lapsed(now) => "neither store nor majority confirmed it in time",
            () => return,
        };
        self.stand_down(epoch, why, actions);
    }

    fn stand_down(&mut self, epoch: Epoch, why: &str, actions: &mut Vec<Action>) {
        note(actions, "stands_down", epoch, why.to_owned());
        self.leader = None;
        self.stood_down = self.stood_down.max(epoch);
        if let Some(following) = &mut self.following
            && following.record.epoch == epoch
        {
            following.resigned = true;
        }
        self.search.stop();
    }

    fn shut_down(&mut self, now: Moment, actions: &mut Vec<Action>) {
        self.leaving = true;
        self.beat_due = now;
        let Some(leader) = &self.leader else {
            return;
        };
        let epoch = leader.record().epoch;
        self.handing = leader
            .hand_on(now)
            .map(|(successor, handoff)| (successor.control, handoff));
        if self.handing.is_none() {
            let others = leader
                .heard(now)
                .filter(|member| member.life != self.profile.life);
            let resign = PeerMessage::Resign { epoch };
            actions.extend(others.map(|member| Action::Send(member.control, resign.clone())));
        }
        // From here on this process does not act as a leader any more, so its successor may.
        self.stand_down(epoch, "the node shuts down", actions);
        self.send_handoff(actions);
    }

    /// Sends what is handed on, until its receiver is followed; datagrams are lost now and then.
    fn send_handoff(&mut self, actions: &mut Vec<Action>) {
        let followed = self.epoch();
        self.handing
            .take_if(|(_, handoff)| followed >= Some(handoff.record.epoch));
        if let Some((to, handoff)) = &self.handing {
            let message = PeerMessage::Handoff(Box::new(handoff.clone()));
            actions.push(Action::Send(*to, message));
        }
    }

    /// Goes on as the leader where another has stopped.
    fn take_over(&mut self, now: Moment, handoff: &Handoff, actions: &mut Vec<Action>) {
        let epoch = handoff.record.epoch;
        let known = self.epoch().is_some_and(|known| known >= epoch);
        if handoff.to != self.profile.life || known || self.stood_down >= epoch || self.leaving {
            return;
        }
        // A handoff that names no recent beat has been on its way for too long.
        let beat = self
            .sent
            .iter()
            .find(|(sequence, _)| *sequence == handoff.sequence);
        let Some((_, written)) = beat.copied() else {
            return;
        };
        note(
            actions,
            "leads",
            epoch,
            "handed on by a leader that shuts down".to_owned(),
        );
        self.follow(now, handoff.record.clone(), actions);
        let intent = self.intent.clone();
        let leader =
            Leader::from_handoff(now, written, handoff, &self.directory, intent, self.times);
        self.leader = Some(leader);
        self.call_all(actions);
    }

    /// Tells all known nodes who leads.
    fn call_all(&self, actions: &mut Vec<Action>) {
        let Some(leader) = &self.leader else {
            return;
        };
        for (node, entry) in &self.directory.members {
            if *node != self.profile.life.node {
                let lead = PeerMessage::Lead(Box::new(leader.record().clone()));
                actions.push(Action::Send(entry.member.control, lead));
            }
        }
    }

    fn take(
        &mut self,
        now: Moment,
        from: SocketAddr,
        message: PeerMessage,
        actions: &mut Vec<Action>,
    ) {
        match message {
            PeerMessage::Beat(beat) => {
                if let Some(leader) = &mut self.leader {
                    leader.hear(now, from, &beat, actions);
                }
            }
            PeerMessage::Order(order) => self.obey(now, &order, actions),
            PeerMessage::Ask { from: _, epoch } => {
                let hears = self.hears_leader(now) && self.epoch().is_some_and(|own| own >= epoch);
                let say = PeerMessage::Say {
                    from: self.profile.life.clone(),
                    epoch,
                    hears,
                };
                actions.push(Action::Send(from, say));
            }
            PeerMessage::Say { from, epoch, hears } => {
                self.search.hear(now, from.node, epoch, hears);
            }
            PeerMessage::Lead(record) => {
                if record.epoch > self.stood_down {
                    self.follow(now, *record, actions);
                }
            }
            PeerMessage::Handoff(handoff) => self.take_over(now, &handoff, actions),
            PeerMessage::Resign { epoch } => {
                if let Some(following) = &mut self.following
                    && following.record.epoch == epoch
                {
                    following.resigned = true;
                }
            }
        }
    }

    fn obey(&mut self, now: Moment, order: &Order, actions: &mut Vec<Action>) {
        let Some(following) = &mut self.following else {
            return;
        };
        let known = following.record.epoch == order.epoch
            && following.record.leader == order.leader
            && order.life == self.profile.life.life;
        let beat = self
            .outstanding
            .iter()
            .find(|(sequence, _)| *sequence == order.sequence);
        // An order that answers no outstanding beat is late, doubled, or meant for an earlier life.
        let Some((sequence, sent)) = beat.copied().filter(|_| known) else {
            return;
        };
        self.outstanding.retain(|(earlier, _)| *earlier > sequence);
        following.heard = Some(now);
        following.stamp = Some(order.stamp);
        match &order.assignment {
            Some(assignment) => {
                let lease = Duration::from_millis(u64::from(order.lease));
                self.lease = Some(Lease {
                    until: sent + lease,
                    assignment: assignment.clone(),
                });
            }
            None if self.server.is_settled() => self.beat_due = self.beat_due.min(now + SOON),
            None => {}
        }
        self.directory.apply(&order.update);
        if order.intent > self.intent.offset && now.since(self.fetched) >= FETCH_PAUSE {
            self.fetched = now;
            let leader = self.directory.members.get(&order.leader.node);
            actions.extend(leader.map(|entry| Action::FetchIntent(entry.member.traffic)));
        }
        actions.push(Action::Publish);
    }

    fn hear_server(&mut self, now: Moment, word: ServerWord, actions: &mut Vec<Action>) {
        match word {
            ServerWord::Heartbeat(heartbeat) => {
                let life = heartbeat.life.clone();
                if self.server.life() != Some(&life) {
                    let epoch = self.epoch().unwrap_or_default();
                    let detail = format!(
                        "{life}, heartbeat {}, holds {} ranges",
                        heartbeat.sequence,
                        heartbeat.holds.len()
                    );
                    note(actions, "server_life", epoch, detail);
                }
                let lease = self.lease.as_ref().filter(|lease| now < lease.until);
                let answer = self.server.hear(now, heartbeat, lease, &self.times);
                if self.server.life() == Some(&life) {
                    self.server_gone = false;
                }
                actions.push(Action::Answer(answer));
            }
            ServerWord::Leaves(id) => {
                self.server.leaves(&id);
                self.forget_lease();
                actions.push(Action::Answer(HeartbeatAnswer::Heard));
            }
            ServerWord::Gone => {
                self.server_gone = true;
                self.forget_lease();
            }
        }
        let news = (self.card(now), self.server.holding(now));
        if self.told.as_ref() != Some(&news) {
            self.beat_due = now;
        }
        actions.push(Action::Publish);
    }

    /// Grants nothing until the next order. The leader takes a node without a server at its word
    /// and gives the server's keys away once they are released; should the server speak again, an
    /// old lease must not bring them back.
    fn forget_lease(&mut self) {
        if self.server().is_none() {
            self.lease = None;
        }
    }

    fn set_intent(&mut self, now: Moment, intent: OperatorsIntent) {
        if intent.offset <= self.intent.offset && self.intent.config.is_some() {
            return;
        }
        if let Some(leader) = &mut self.leader {
            leader.set_intent(intent.clone());
        }
        self.intent = intent;
        self.beat_due = now;
    }

    fn card(&self, now: Moment) -> Option<ServerCard> {
        let newest = self.server()?;
        let heard = self.server.heard_at()?;
        Some(ServerCard {
            life: newest.life.clone(),
            slots: u16::try_from(newest.slots).unwrap_or(u16::MAX),
            draining: newest.draining || self.intent.evacuated.contains(&self.profile.zone),
            cold: now < self.server.cold_until(),
            settled: self.server.is_settled(),
            silent: now.since(heard) >= self.profile.heartbeat * MISSED_HEARTBEATS,
        })
    }

    fn beat(&mut self, now: Moment, actions: &mut Vec<Action>) {
        self.beat_due = now + self.times.beat;
        let Some(following) = &self.following else {
            return;
        };
        if self.stood_down >= following.record.epoch {
            return;
        }
        let epoch = following.record.epoch;
        let age = now.since(self.started);
        let left = self
            .lease
            .as_ref()
            .map_or(Duration::ZERO, |lease| lease.until.since(now));
        let card = self.card(now);
        let holding = self.server.holding(now);
        let key_loads = match now.since(self.key_loads_sent) >= KEY_LOADS_PAUSE {
            true => {
                self.key_loads_sent = now;
                self.key_loads.clone()
            }
            false => Vec::new(),
        };
        self.sequence += 1;
        let beat = Beat {
            epoch,
            member: Member {
                life: self.profile.life.clone(),
                zone: self.profile.zone.clone(),
                control: self.profile.control,
                traffic: self.profile.traffic,
                service: self.profile.service.clone(),
                server: card.clone(),
                leaving: self.leaving,
            },
            sequence: self.sequence,
            order: following.stamp,
            // A restarted process may have followed a later leader in its earlier life. It has read
            // the store since, or every authority of that time has ended.
            vouches: self.read_epoch.is_some_and(|read| read <= epoch)
                || age >= self.times.lease * 2,
            left: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
            known: self.server.is_settled() || age >= LeaseTimes::waited(self.times.lease),
            holding: holding.clone(),
            freed: self.server.freed(now),
            load: self.load,
            key_loads,
            table: self.directory.table,
            owners: self.directory.version,
            intent: self.intent.offset,
        };
        self.told = Some((card, holding));
        for kept in [&mut self.outstanding, &mut self.sent] {
            if kept.len() == BEATS_KEPT {
                kept.pop_front();
            }
            kept.push_back((self.sequence, now));
        }
        let control = following.record.control;
        actions.push(Action::Send(control, PeerMessage::Beat(Box::new(beat))));
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

fn note(actions: &mut Vec<Action>, event: &'static str, epoch: Epoch, detail: String) {
    actions.push(Action::Note(Note {
        event,
        epoch,
        detail,
    }));
}
