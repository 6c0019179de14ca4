//! Sends requests to nodes, and retries them.

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
use quetzalrack_core::traffic::poison::Suspicion;
use quetzalrack_mesh::model::HostSettings;
use quetzalrack_mesh::model::Route;
use quetzalrack_mesh::ownership::Directory;
use quetzalrack_mesh::routing::WeightedRoundRobin;
use quetzalrack_mesh::traffic::RefusalReason;
use quetzalrack_mesh::traffic::balancing::LoadBalancer;
use quetzalrack_mesh::traffic::notices::PeerNotices;
use quetzalrack_mesh::traffic::owner_wait::OwnerWait;
use quetzalrack_mesh::traffic::retry::RetryBudget;

use super::attempts::Attempts;
use super::attempts::RETRY_AFTER_NO_SERVER;
use super::client_response::empty_response;
use super::client_response::not_run_response;
use super::client_response::strip_connection_headers;
use super::incoming_request;
use super::incoming_request::IncomingRequest;
use super::placement::Placement;
use crate::clock;
use crate::metrics::Metrics;
use crate::shared::Board;
use crate::traffic::body::Payload;
use crate::traffic::egress::Egress;
use crate::traffic::egress::poison_refusal;
use crate::traffic::hop::HopClient;
use crate::traffic::job::Job;
use crate::traffic::suspects::Suspects;
use crate::traffic::wire::ActiveCounter;

/// Interval between lookups of the owner of a key that has none.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// The least time until the deadline for which an attempt is made.
pub(super) const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);

/// Sends the requests that enter at this host to the nodes that serve them.
pub(in crate::traffic) struct Ingress {
    pub(super) node_name: NodeName,
    pub(super) settings: HostSettings,
    pub(super) board: Arc<Board>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) egress: Rc<Egress>,
    pub(super) suspects: Rc<Suspects>,
    pub(super) hops: Rc<HopClient>,
    pub(super) balancer: RefCell<LoadBalancer>,
    pub(super) notices: RefCell<PeerNotices>,
    round_robins: RefCell<HashMap<RouteName, WeightedRoundRobin>>,
    budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    started: Moment,
    owner_waits: RefCell<OwnerWait>,
    running: ActiveCounter,
}

impl Ingress {
    pub(in crate::traffic) fn new(
        settings: HostSettings,
        board: Arc<Board>,
        metrics: Arc<Metrics>,
        egress: Rc<Egress>,
        suspects: Rc<Suspects>,
        hops: Rc<HopClient>,
        seed: u64,
    ) -> Rc<Self> {
        Rc::new(Self {
            node_name: settings.node.clone(),
            balancer: RefCell::new(LoadBalancer::new(settings.zone.clone(), seed)),
            settings,
            board,
            metrics,
            egress,
            suspects,
            hops,
            notices: RefCell::default(),
            round_robins: RefCell::default(),
            budgets: RefCell::default(),
            started: clock::now(),
            owner_waits: RefCell::default(),
            running: ActiveCounter::default(),
        })
    }

    /// Returns how many requests are in progress.
    pub(in crate::traffic) fn running_count(&self) -> usize {
        self.running.count()
    }

    /// Serves one request of a client.
    pub(in crate::traffic) async fn serve<B>(&self, parts: Parts, body: B) -> Response<Payload>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let arrived = clock::now();
        let _active = self.running.enter();
        let view = self.board.view();
        let route = match incoming_request::find_route(&view, &parts) {
            Ok(route) => route,
            Err(rejection) => return rejection.response(),
        };
        let Some(config) = view.intent.config.clone() else {
            return not_run_response(RETRY_AFTER_NO_SERVER);
        };
        let read = tokio::select! {
            biased;
            read = incoming_request::read_body(body, &config) => read,
            () = self.wait_shutdown_deadline() => return self.refuse_unread(&route, arrived),
        };
        let body = match read {
            Ok(body) => body,
            Err(rejection) => return rejection.response(),
        };
        let service = self.select_service(&route);
        let caller = self.settings.service.clone();
        let incoming = incoming_request::build(arrived, parts, body, route, service, caller);
        if let Some(retry_after) = self.retry_after_shutdown(&incoming) {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            self.log_unserved(&incoming, "node_leaves", status, 0);
            self.metrics.answered(
                incoming.route.name.as_str(),
                status.as_u16(),
                clock::now().since(arrived),
            );
            return not_run_response(retry_after);
        }
        let mut response = tokio::select! {
            response = self.dispatch(&incoming) => response,
            () = self.wait_shutdown_deadline() => {
                self.log_unserved(&incoming, "node_ends", StatusCode::BAD_GATEWAY, 0);
                empty_response(StatusCode::BAD_GATEWAY)
            }
        };
        let status = response.status().as_u16();
        self.metrics.answered(
            incoming.route.name.as_str(),
            status,
            clock::now().since(arrived),
        );
        strip_connection_headers(response.headers_mut());
        response
    }

    /// Returns whether a request may run more than once.
    pub(super) fn is_repeatable(&self, parts: &Parts) -> bool {
        let route = incoming_request::find_route(&self.board.view(), parts);
        route.is_ok_and(|route| route.kind.is_repeatable())
    }

    fn select_service(&self, route: &Route) -> ServiceName {
        let mut round_robins = self.round_robins.borrow_mut();
        let round_robin = round_robins.entry(route.name.clone()).or_default();
        let index = match route.services.len() {
            1 => 0,
            _ => round_robin.next_index(&route.services),
        };
        // A route names at least one service, and the index is that of one of them.
        let entry = route.services.get(index).or_else(|| route.services.first());
        entry.map_or_else(
            || self.settings.service.clone(),
            |entry| entry.service.clone(),
        )
    }

    pub(super) fn with_budget<F, T>(&self, service: &ServiceName, operation: F) -> T
    where
        F: FnOnce(&mut RetryBudget, Moment) -> T,
    {
        let mut budgets = self.budgets.borrow_mut();
        let bounds = &self.settings.bounds;
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            RetryBudget::new(
                self.started,
                bounds.retry_ratio,
                bounds.retry_window,
                bounds.retry_slack,
            )
        });
        operation(budget, clock::now())
    }

    async fn dispatch(&self, incoming: &IncomingRequest) -> Response<Payload> {
        let job = &incoming.job;
        let mut attempts = Attempts::new();
        loop {
            let now = clock::now();
            if incoming.deadline.since(now) < MIN_ATTEMPT_TIME {
                break;
            }
            if let Some(retry_after) = self.retry_after_wait(incoming) {
                attempts.last_refusal = (RefusalReason::NodeAway, retry_after);
                break;
            }
            if let Suspicion::Poison { certain } = self.suspects.suspicion(&job.content) {
                attempts.last_refusal = poison_refusal(certain);
                break;
            }
            let view = self.board.view();
            let leaving = self.leaving_nodes(&view.directory);
            let hinted = attempts.hinted_owner.take();
            let next = match hinted.filter(|node| !leaving.contains(node)) {
                Some(node) => Placement::Node(node),
                None => self.choose_node(now, &view, job, &attempts, &leaving),
            };
            let node = match next {
                Placement::Node(node) => node,
                Placement::NoOwner => {
                    attempts.last_refusal = (RefusalReason::NotOwner, RETRY_AFTER_NO_SERVER);
                    if self.wait_for_owner(job, &mut attempts).await {
                        continue;
                    }
                    break;
                }
                Placement::NoNode => break,
            };
            let report = self.attempt(job, &node).await;
            if !self
                .handle_report(incoming, &mut attempts, node, report)
                .await
            {
                break;
            }
        }
        self.final_response(incoming, attempts)
    }

    /// Waits briefly for the next owner of a key; returns whether to look it up again.
    pub(super) async fn wait_for_owner(&self, job: &Job, attempts: &mut Attempts) -> bool {
        let Some(key) = job.key else {
            return false;
        };
        let now = clock::now();
        let view = self.board.view();
        let directory = &view.directory;
        let max_wait = || {
            let waits = self.owner_waits.borrow();
            let left = job.deadline.since(now);
            (now, waits.max_wait(now, directory, &job.service, key, left))
        };
        let (since, max_wait) = *attempts.owner_wait.get_or_insert_with(max_wait);
        if now >= since + max_wait {
            let mut waits = self.owner_waits.borrow_mut();
            waits.record_timeout(now, directory, &job.service, key, max_wait);
            return false;
        }
        attempts.hints_followed = 0;
        // Looks the owner up again when the table has changed, or after the interval.
        tokio::time::timeout(OWNER_POLL_INTERVAL, self.board.changed())
            .await
            .ok();
        true
    }

    /// Returns the nodes whose servers are leaving by the responses that were passed on here.
    fn leaving_nodes(&self, directory: &Directory) -> Vec<NodeName> {
        let notices = self.notices.borrow();
        let leaving = notices.leaving().filter(|(node, incarnation)| {
            let entry = directory.members.get(*node);
            let server = entry.and_then(|entry| entry.member.server.as_ref());
            server.is_some_and(|server| server.incarnation == **incarnation)
        });
        leaving.map(|(node, _)| node.clone()).collect()
    }
}
