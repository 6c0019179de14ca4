//! Serving jobs at the backend server beside the node.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::ids::ZoneName;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::KeyRange;
use quetzalrack_mesh::model::LinkRate;
use quetzalrack_mesh::model::ServerIncarnation;
use quetzalrack_mesh::model::TimeBounds;
use quetzalrack_mesh::ownership::NodeLoad;
use quetzalrack_mesh::traffic::KeyCounter;
use quetzalrack_mesh::traffic::OwnerHint;
use quetzalrack_mesh::traffic::RefusalReason;
use quetzalrack_mesh::traffic::admission::Admission;
use quetzalrack_mesh::traffic::admission::ColdRate;

use super::server_link::ServerLink;
use super::turn::Turns;
use crate::clock;
use crate::metrics::Metrics;
use crate::shared::Board;
use crate::shared::NodeView;
use crate::shared::ServerView;
use crate::shared::TrafficReport;
use crate::traffic::job::Job;
use crate::traffic::outcome::Lost;
use crate::traffic::outcome::Outcome;
use crate::traffic::outcome::Report;
use crate::traffic::wire::OpenCount;

/// How soon a caller may come back that met no usable server here.
const ELSEWHERE: Duration = Duration::from_millis(300);
/// The part of the allowed excess over a cold server's rate that is used; the rest is for what
/// arrives bunched.
const COLD_PART: f64 = 0.6;
/// How long a server is taken for cold after its zone was emptied, unless its heartbeat says more:
/// one heartbeat, and some.
const AFTER_EVACUATION: Duration = Duration::from_millis(1_500);

/// Serves jobs at the backend server beside the node.
pub(in crate::traffic) struct Egress {
    board: Arc<Board>,
    pub(super) metrics: Arc<Metrics>,
    service: ServiceName,
    zone: ZoneName,
    bounds: TimeBounds,
    link: ServerLink,
    pub(super) turns: Rc<Turns>,
    keys: RefCell<KeyCounter>,
    slowness: Cell<u16>,
    /// When the last line about requests to a cold server was written.
    pub(super) cold_line: Cell<Moment>,
    evacuated: Cell<bool>,
    life: RefCell<Option<ServerIncarnation>>,
    running: OpenCount,
    closed: Cell<bool>,
}

impl Egress {
    pub(in crate::traffic) fn new(
        board: Arc<Board>,
        metrics: Arc<Metrics>,
        service: ServiceName,
        zone: ZoneName,
        bounds: TimeBounds,
        link: Option<LinkRate>,
    ) -> Rc<Self> {
        let egress = Rc::new(Self {
            board,
            metrics,
            service,
            zone,
            bounds,
            link: ServerLink::new(),
            turns: Rc::default(),
            keys: RefCell::default(),
            slowness: Cell::new(100),
            cold_line: Cell::default(),
            evacuated: Cell::default(),
            life: RefCell::default(),
            running: OpenCount::default(),
            closed: Cell::default(),
        });
        egress.turns.update(|admission| {
            admission.set_link(link);
            admission.cold_limiter().block_first_window(clock::now());
        });
        tokio::task::spawn_local(Rc::clone(&egress.turns).watch());
        egress
    }

    /// Serves a job. A dropped call takes the job back, also from the server.
    pub(in crate::traffic) async fn serve(&self, job: &Job) -> Report {
        let _open = self.running.enter();
        let outcome = self.run(job).await;
        self.note(job, &outcome);
        let view = self.board.view();
        let refused = job.key.filter(|_| matches!(outcome, Outcome::NotRun(..)));
        let owner = refused.and_then(|key| OwnerHint::of(&view.directory, &job.service, key));
        Report {
            outcome,
            load: Some(self.load()),
            owner,
        }
    }

    /// Returns how many jobs are here.
    pub(in crate::traffic) fn running(&self) -> usize {
        self.running.get()
    }

    /// Takes no more jobs of other nodes.
    pub(in crate::traffic) fn close(&self) {
        self.closed.set(true);
    }

    pub(in crate::traffic) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Counts for the control thread.
    pub(in crate::traffic) fn report(&self) -> TrafficReport {
        let view = self.board.view();
        self.refresh(&view);
        let now = clock::now();
        self.note_cold(now, &view);
        let serving = view.server.as_ref().map(|server| server.serving.as_slice());
        let held: Vec<KeyRange> = serving
            .unwrap_or_default()
            .iter()
            .map(|(held, _)| held.keys)
            .collect();
        self.metrics.set_opened(self.link.opened());
        TrafficReport {
            load: self.load(),
            key_loads: match held.is_empty() {
                true => Vec::new(),
                false => self.keys.borrow_mut().loads(now, &held),
            },
            server_gone: self.link.refused_at().is_some(),
        }
    }

    async fn run(&self, job: &Job) -> Outcome {
        let view = self.board.view();
        self.refresh(&view);
        if let Err(reason) = self.usable(&view, job) {
            return Outcome::NotRun(reason, ELSEWHERE);
        }
        if let Some(key) = job.key {
            self.keys
                .borrow_mut()
                .count(key, self.turns.work(&job.route));
        }
        let mut slot = match self.turns.take(job).await {
            Ok(slot) => slot,
            Err((reason, back)) => return Outcome::NotRun(reason, back),
        };
        // While it waited, the server may have announced that it leaves, or lost the key.
        let view = self.board.view();
        self.refresh(&view);
        let server = match self.usable(&view, job) {
            Ok(server) => server,
            Err(reason) => return Outcome::NotRun(reason, ELSEWHERE),
        };
        let sent = clock::now();
        let (outcome, told) = self
            .link
            .send(server.address, &server.life.id, job, self.turns.as_ref())
            .await;
        if let Some(slowness) = told.slowness {
            self.slowness
                .set(u16::try_from(slowness).unwrap_or(u16::MAX));
        }
        if let Outcome::Answered(answer) = &outcome {
            slot.answered(clock::now().since(sent), answer.body().len());
        }
        outcome
    }

    /// Returns the server if it may get a job now.
    fn usable<'a>(&self, view: &'a NodeView, job: &Job) -> Result<&'a ServerView, RefusalReason> {
        let server = view.server.as_ref().ok_or(RefusalReason::NoServer)?;
        if job.service != self.service {
            return Err(RefusalReason::NoServer);
        }
        if self.link.is_closed(server.heard_at) {
            return Err(RefusalReason::Unreachable);
        }
        let shut = |admission: &mut Admission| admission.cold_limiter().is_blocked(clock::now());
        if self.turns.ask(shut) {
            return Err(RefusalReason::NoDocument);
        }
        if server.draining || view.intent.evacuated.contains(&self.zone) {
            return Err(RefusalReason::Draining);
        }
        let keyed = view
            .intent
            .config
            .as_ref()
            .and_then(|config| config.services.get(&self.service));
        match job.key {
            // Whether the server may run it follows from what the document says of its service.
            Some(_) if view.intent.config.is_none() => Err(RefusalReason::NoDocument),
            Some(key) if keyed.is_some_and(|service| service.keyed) => {
                let holds = server.holds(clock::now(), key);
                holds.then_some(server).ok_or(RefusalReason::NotOwner)
            }
            _ => Ok(server),
        }
    }

    /// Tells admission what is known of the server.
    fn refresh(&self, view: &NodeView) {
        let Some(server) = &view.server else {
            return;
        };
        let now = clock::now();
        let evacuated = view.intent.evacuated.contains(&self.zone);
        let returned = self.evacuated.replace(evacuated) && !evacuated;
        let reborn = self.life.replace(Some(server.life.clone())) != Some(server.life.clone());
        let rate = self.cold_rate(view);
        let doubted = self.link.is_doubted(server.heard_at);
        self.turns.update(|admission| {
            admission.set_slots(server.slots);
            let cold = admission.cold_limiter();
            cold.set_rate(rate);
            cold.set_maybe_restarted(doubted);
            if reborn {
                cold.set_cold_until(server.cold_until);
            } else if returned {
                cold.set_cold_until(server.cold_until.max(now + AFTER_EVACUATION));
            } else if server.cold_until > now {
                cold.set_cold_until(server.cold_until);
            }
        });
    }

    fn cold_rate(&self, view: &NodeView) -> ColdRate {
        let config = view.intent.config.as_ref();
        let Some(service) = config.and_then(|config| config.services.get(&self.service)) else {
            return ColdRate::Unknown;
        };
        let Some(rate) = service.cold_rate else {
            return ColdRate::Unlimited;
        };
        // The bound holds for any second, so the rate itself may be exceeded a little.
        let excess = rate * (self.bounds.cold_factor - 1.0) + self.bounds.cold_slack;
        ColdRate::PerSecond {
            begun: rate + excess * COLD_PART,
            most: rate + excess,
        }
    }

    fn load(&self) -> NodeLoad {
        let (running, waiting) = self.turns.busy();
        let view = self.board.view();
        let slots = view.server.as_ref().map_or(0, |server| server.slots);
        NodeLoad {
            requests: u16::try_from(running + waiting).unwrap_or(u16::MAX),
            limit: u16::try_from(slots).unwrap_or(u16::MAX),
            slowdown_percent: self.slowness.get(),
            request_ms: u16::try_from(self.turns.pace().as_millis()).unwrap_or(u16::MAX),
            backlog_ms: u16::try_from(self.turns.link_time(clock::now()).as_millis())
                .unwrap_or(u16::MAX),
        }
    }
}

impl Lost {
    /// Tells whether the time of the job is over.
    pub(in crate::traffic) fn is_timeout(self) -> bool {
        self == Self::TimedOut
    }
}
