//! The work of a backend server, behind its lock.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::cluster::ServerState;
use quetzalrack_core::ids::AttemptId;
use rand::RngCore;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Notify;
use uuid::Builder;

use super::Admission;
use super::AnswerPlan;
use super::ColdStart;
use super::ConnectionTable;
use super::FenceTable;
use super::GrantRecord;
use super::RunRecord;
use super::ServerCounts;
use super::ServerFaults;
use super::ServerSettings;
use crate::process::wall_us;

/// How many times slower a cold server works that has more than it bears.
const COLD_SLOWNESS: u32 = 5;
/// From how many times its bound on a cold server sheds.
const COLD_SHED: u32 = 3;
/// How many requests per slot wait before a warm server sheds.
const WAITING_PER_SLOT: u32 = 2;

/// Is what a backend server does now and did so far.
#[derive(Debug)]
pub(super) struct Work {
    pub faults: ServerFaults,
    pub cold: ColdStart,
    pub fences: FenceTable,
    pub connections: ConnectionTable,
    pub stops: BTreeMap<AttemptId, Arc<Notify>>,
    pub random: ChaCha8Rng,
    pub running: u32,
    pub waiting: u32,
    pub counts: ServerCounts,
    pub grants: Vec<GrantRecord>,
    pub runs: Vec<RunRecord>,
    loads: VecDeque<LoadSample>,
    answered: Option<AttemptId>,
}

/// Is a load of the past, kept so that the report can lag.
#[derive(Clone, Copy, Debug)]
struct LoadSample {
    at_us: u64,
    load: f32,
}

impl Work {
    /// Makes a server without work that is cold for `left`.
    pub fn new(settings: &ServerSettings, left: Duration, now_us: u64) -> Self {
        Self {
            faults: ServerFaults::default(),
            cold: ColdStart::new(left, false, now_us),
            fences: FenceTable::default(),
            connections: ConnectionTable::default(),
            stops: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            running: 0,
            waiting: 0,
            counts: ServerCounts::default(),
            grants: Vec::new(),
            runs: Vec::new(),
            loads: VecDeque::new(),
            answered: None,
        }
    }

    /// Turns the server cold without announcing it.
    pub fn turn_cold(&mut self, left: Duration) {
        self.cold = ColdStart::new(left, true, wall_us());
    }

    /// Decides on a request from what runs and waits.
    pub fn decide(&mut self, settings: &ServerSettings) -> Admission {
        self.cold_passes(settings);
        if self.faults.shed {
            return Admission::Shed;
        }
        if self.cold.is_cold() {
            return self.decide_cold(settings);
        }
        if self.running < settings.slots.0 {
            return Admission::Begun { slowness: 1 };
        }
        match self.waiting < settings.slots.0 * WAITING_PER_SLOT {
            true => Admission::Waits,
            false => Admission::Shed,
        }
    }

    fn decide_cold(&self, settings: &ServerSettings) -> Admission {
        let bound = settings.cold_slots.0;
        match self.running {
            running if running < bound => Admission::Begun { slowness: 1 },
            running if running < bound * COLD_SHED => Admission::Begun {
                slowness: COLD_SLOWNESS,
            },
            _ => Admission::Shed,
        }
    }

    /// Lets time pass for the cold start and takes note of the most work of each condition.
    pub fn cold_passes(&mut self, settings: &ServerSettings) {
        let at_once = self.running + self.waiting;
        let overloaded = at_once > settings.cold_slots.0;
        self.cold.pass(wall_us(), overloaded);
        let most = match (self.cold.is_cold(), self.cold.is_silent()) {
            (true, false) => &mut self.counts.cold_most,
            (true, true) => &mut self.counts.silent_cold_most,
            (false, _) => &mut self.counts.warm_most,
        };
        *most = at_once.max(*most);
    }

    /// Plans how the next answer goes out, using up the faults that it suffers.
    pub fn plan_answer(&mut self, attempt: Option<AttemptId>) -> AnswerPlan {
        let faults = self.faults;
        self.faults.truncate = faults.truncate.saturating_sub(1);
        self.faults.lose = faults.lose.saturating_sub(1);
        self.faults.cross = faults.cross.saturating_sub(1);
        let other = self.answered.filter(|other| Some(*other) != attempt);
        let claimed = match faults.cross > 0 {
            true => other.or_else(|| Some(self.random_attempt())),
            false => attempt,
        };
        self.answered = attempt.or(self.answered);
        AnswerPlan {
            attempt: claimed,
            lost: faults.lose > 0,
            truncated: faults.truncate > 0,
        }
    }

    fn random_attempt(&mut self) -> AttemptId {
        let mut bytes = [0; 16];
        self.random.fill_bytes(&mut bytes);
        AttemptId(Builder::from_random_bytes(bytes).into_uuid())
    }

    /// Returns the state that the server reports.
    pub fn reported_state(&self) -> ServerState {
        let is_open = self.cold.is_cold() && !self.cold.is_silent();
        let told = match (self.faults.draining, is_open) {
            (true, _) => ServerState::Draining,
            (false, true) => ServerState::Cold,
            (false, false) => ServerState::Warm,
        };
        self.faults.false_state.unwrap_or(told)
    }

    /// Returns the load that the server reports, as old as the settings make it.
    pub fn reported_load(&mut self, settings: &ServerSettings) -> f32 {
        let now_us = wall_us();
        let lag_us = u64::from(settings.load_lag_ms.0) * 1_000;
        let load = self.running as f32 / settings.slots.0.max(1) as f32;
        self.loads.push_back(LoadSample {
            at_us: now_us,
            load: load.min(1.0),
        });
        while self
            .loads
            .get(1)
            .is_some_and(|next| next.at_us + lag_us <= now_us)
        {
            self.loads.pop_front();
        }
        let lagging = self.loads.front().map_or(0.0, |sample| sample.load);
        self.faults.false_load.unwrap_or(lagging)
    }

    /// Returns the counts with those that are kept elsewhere.
    pub fn counts_now(&self) -> ServerCounts {
        ServerCounts {
            connections_opened: self.connections.opened(),
            ..self.counts
        }
    }
}
