//! Placing requests, and trying again.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http::request::Parts;
use hyper::body::Body;
use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::RouteName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::HostSettings;
use quetzalrack_mesh::model::Route;
use quetzalrack_mesh::routing::WeightWheel;
use quetzalrack_mesh::traffic::RefusalReason;
use quetzalrack_mesh::traffic::balancing::LoadBalancer;
use quetzalrack_mesh::traffic::owner_wait::OwnerWait;
use quetzalrack_mesh::traffic::retry::RetryBudget;

use super::answer_client::not_run;
use super::answer_client::plain;
use super::answer_client::strip;
use super::attempts::Attempts;
use super::attempts::NOWHERE;
use super::intake;
use super::intake::Intake;
use super::placing;
use super::placing::Place;
use crate::clock;
use crate::metrics::Metrics;
use crate::shared::Board;
use crate::traffic::egress::Egress;
use crate::traffic::hop::HopClient;
use crate::traffic::job::Job;
use crate::traffic::outcome::Lost;
use crate::traffic::outcome::Outcome;
use crate::traffic::outcome::Report;
use crate::traffic::wire::LinkPacer;
use crate::traffic::wire::OpenCount;

/// How long after a look at the table the next one follows while a key has no owner.
const OWNER_LOOK: Duration = Duration::from_millis(40);
/// The time that an attempt needs at least to be worth making.
pub(super) const WORTHWHILE: Duration = Duration::from_millis(20);

/// Places the requests that begin on this host.
pub(in crate::traffic) struct Ingress {
    pub(super) me: NodeName,
    pub(super) settings: HostSettings,
    pub(super) board: Arc<Board>,
    pub(super) metrics: Arc<Metrics>,
    egress: Rc<Egress>,
    hops: Rc<HopClient>,
    chooser: RefCell<LoadBalancer>,
    wheels: RefCell<HashMap<RouteName, WeightWheel>>,
    budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    owner_waits: RefCell<OwnerWait>,
    running: OpenCount,
}

impl Ingress {
    pub(in crate::traffic) fn new(
        settings: HostSettings,
        board: Arc<Board>,
        metrics: Arc<Metrics>,
        egress: Rc<Egress>,
        pacer: Option<Rc<LinkPacer>>,
        seed: u64,
    ) -> Rc<Self> {
        Rc::new(Self {
            me: settings.node.clone(),
            chooser: RefCell::new(LoadBalancer::new(settings.zone.clone(), seed)),
            settings,
            board,
            metrics,
            egress,
            hops: Rc::new(HopClient::new(pacer)),
            wheels: RefCell::default(),
            budgets: RefCell::default(),
            owner_waits: RefCell::default(),
            running: OpenCount::default(),
        })
    }

    /// Returns how many requests are being worked on.
    pub(in crate::traffic) fn running(&self) -> usize {
        self.running.get()
    }

    /// Serves one request of a client.
    pub(in crate::traffic) async fn serve<B>(&self, parts: Parts, body: B) -> Response<Bytes>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let arrived = clock::now();
        let _open = self.running.enter();
        let view = self.board.view();
        let route = match intake::find_route(&view, &parts) {
            Ok(route) => route,
            Err(rejected) => return rejected.answer(),
        };
        let Some(config) = view.intent.config.clone() else {
            return not_run(NOWHERE);
        };
        let body = match intake::read_body(body, &config).await {
            Ok(body) => body,
            Err(rejected) => return rejected.answer(),
        };
        let service = self.service(&route);
        let origin = self.settings.service.clone();
        let intake = intake::make(arrived, parts, body, route, service, origin);
        if let Some(back) = self.ends_before(&intake) {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            self.note(&intake, "node_leaves", status, 0);
            self.metrics.answered(
                intake.route.name.as_str(),
                status.as_u16(),
                clock::now().since(arrived),
            );
            return not_run(back);
        }
        let mut answer = tokio::select! {
            answer = self.place(&intake) => answer,
            () = self.last_moment() => {
                self.note(&intake, "node_ends", StatusCode::BAD_GATEWAY, 0);
                plain(StatusCode::BAD_GATEWAY)
            }
        };
        let status = answer.status().as_u16();
        self.metrics.answered(
            intake.route.name.as_str(),
            status,
            clock::now().since(arrived),
        );
        strip(answer.headers_mut());
        answer
    }

    /// Tells whether a request may run more than once.
    pub(super) fn is_repeatable(&self, parts: &Parts) -> bool {
        let route = intake::find_route(&self.board.view(), parts);
        route.is_ok_and(|route| route.kind.is_repeatable())
    }

    fn service(&self, route: &Route) -> ServiceName {
        let mut wheels = self.wheels.borrow_mut();
        let wheel = wheels.entry(route.name.clone()).or_default();
        let place = match route.services.len() {
            1 => 0,
            _ => wheel.turn(&route.services),
        };
        // A route names one service at least, and the wheel returns a place among them.
        let part = route.services.get(place).or_else(|| route.services.first());
        part.map_or_else(
            || self.settings.service.clone(),
            |part| part.service.clone(),
        )
    }

    pub(super) fn budget<F, T>(&self, service: &ServiceName, use_it: F) -> T
    where
        F: FnOnce(&mut RetryBudget, Moment) -> T,
    {
        let mut budgets = self.budgets.borrow_mut();
        let bounds = &self.settings.bounds;
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            RetryBudget::new(bounds.retry_ratio, bounds.retry_window, bounds.retry_slack)
        });
        use_it(budget, clock::now())
    }

    async fn place(&self, intake: &Intake) -> Response<Bytes> {
        let job = &intake.job;
        let mut attempts = Attempts::new();
        loop {
            let now = clock::now();
            if intake.due.since(now) < WORTHWHILE {
                break;
            }
            let view = self.board.view();
            let next = match attempts.named.take() {
                Some(node) => Place::Node(node),
                None => placing::next(now, &view, &self.chooser, job, &attempts.tried),
            };
            let node = match next {
                Place::Node(node) => node,
                Place::NoOwner => {
                    attempts.refusal = (RefusalReason::NotOwner, NOWHERE);
                    if self.wait_for_owner(job, &mut attempts).await {
                        continue;
                    }
                    break;
                }
                Place::Nowhere => break,
            };
            let report = self.attempt(job, &node).await;
            if !self.go_on(intake, &mut attempts, node, report).await {
                break;
            }
        }
        self.conclude(intake, attempts)
    }

    /// Waits a little for a key's next owner; tells whether it is worth looking again.
    pub(super) async fn wait_for_owner(&self, job: &Job, attempts: &mut Attempts) -> bool {
        let Some(key) = job.key else {
            return false;
        };
        let now = clock::now();
        let view = self.board.view();
        let directory = &view.directory;
        let span = || {
            let waits = self.owner_waits.borrow();
            let left = job.deadline.since(now);
            (now, waits.max_wait(now, directory, &job.service, key, left))
        };
        let (since, span) = *attempts.owner_wait.get_or_insert_with(span);
        if now >= since + span {
            let mut waits = self.owner_waits.borrow_mut();
            waits.record_timeout(now, directory, &job.service, key, span);
            return false;
        }
        attempts.words = 0;
        // Either the table changes, or the same look is repeated a little later.
        tokio::time::timeout(OWNER_LOOK, self.board.changed())
            .await
            .ok();
        true
    }

    async fn attempt(&self, job: &Job, node: &NodeName) -> Report {
        if *node == self.me {
            return self.egress.serve(job).await;
        }
        let view = self.board.view();
        let Some(entry) = view.directory.members.get(node) else {
            return Report::bare(Outcome::NotRun(RefusalReason::NodeAway, NOWHERE));
        };
        self.chooser.borrow_mut().record_sent(node);
        let sending = self.hops.send(entry.member.traffic, job);
        let report = tokio::select! {
            report = sending => report,
            () = placing::silence(&self.board, &self.hops, node) => {
                Report::bare(Outcome::Lost(Lost::Broken))
            }
        };
        if let Outcome::NotRun(RefusalReason::NoDocument, _) = report.outcome
            && let Some(own) = view.directory.members.get(&self.me)
        {
            let (to, own) = (entry.member.traffic, own.member.traffic);
            let hops = Rc::clone(&self.hops);
            tokio::task::spawn_local(async move { hops.introduce(to, own).await });
        }
        let now = clock::now();
        let mut chooser = self.chooser.borrow_mut();
        let failed = match &report.outcome {
            Outcome::Answered(answer) => answer.status().is_server_error(),
            Outcome::NotRun(reason, _) => *reason == RefusalReason::ServerRefused,
            Outcome::Lost(lost) => !lost.is_timeout(),
        };
        chooser.record_ended(now, node, report.load, failed);
        if let Outcome::Answered(answer) = &report.outcome {
            chooser.record_response_size(&job.route, answer.body().len());
        }
        if report.load.is_none() {
            chooser.record_unreachable(now, node);
        }
        report
    }
}
