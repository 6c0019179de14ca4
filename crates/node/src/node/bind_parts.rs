//! Binds a node's addresses and starts its threads, in order.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::mpsc::Receiver;

use arc_swap::ArcSwapOption;
use quetzalrack_core::cluster::Member;
use quetzalrack_core::ids::Incarnation;
use quetzalrack_core::intent::IntentSnapshot;
use quetzalrack_wire::status::ListeningLine;
use tokio::sync::watch;

use super::Node;
use super::NodeHandle;
use super::RunningNode;
use super::SpawnError;
use super::bind_traffic::BoundTraffic;
use super::bind_traffic::bind_traffic;
use super::find_peers::find_peers;
use super::node_shutdown::NodeShutdown;
use super::service_thread::ServiceThread;
use crate::admin::AdminServer;
use crate::admin::AdminState;
use crate::admin::RunningAdmin;
use crate::calls::CallClient;
use crate::calls::CallServer;
use crate::calls::RunningCalls;
use crate::control::ControlBoard;
use crate::control::ControlEvent;
use crate::control::ControlInbox;
use crate::control::ControlLoop;
use crate::control::ControlParts;
use crate::meters::CostMeter;
use crate::meters::ThreadMeter;
use crate::metrics::Metrics;
use crate::platform::OpenLink;

/// Binds every address and starts every thread.
pub(super) fn bind_parts(node: Node) -> Result<RunningNode, SpawnError> {
    let (inbox, receiver) = ControlInbox::open();
    let service_meter = Arc::new(ThreadMeter::default());
    let service = ServiceThread::spawn(service_meter.clone()).map_err(SpawnError::Thread)?;
    let traffic = bind_traffic(&node)?;
    let link = open_link(&node, &inbox)?;
    let cost = Arc::new(CostMeter {
        started: node.boundaries.clock.now(),
        control: Arc::new(ThreadMeter::default()),
        service: service_meter,
        link: link.counters.clone(),
        log: node.boundaries.log_counters.clone(),
    });
    let binding = Binding {
        node,
        inbox,
        service,
        traffic,
        link,
        cost,
        member: Arc::default(),
        board: Arc::default(),
        snapshot: Arc::default(),
    };
    binding.start(receiver)
}

/// The parts that are bound and started so far.
struct Binding {
    node: Node,
    inbox: ControlInbox,
    service: ServiceThread,
    traffic: BoundTraffic,
    link: OpenLink,
    cost: Arc<CostMeter>,
    member: Arc<OnceLock<Member>>,
    board: Arc<ControlBoard>,
    snapshot: Arc<ArcSwapOption<IntentSnapshot>>,
}

impl Binding {
    fn start(self, receiver: Receiver<ControlEvent>) -> Result<RunningNode, SpawnError> {
        let calls = self.bind_calls()?;
        let admin = self.bind_admin()?;
        let listening = self.listening(calls.address, admin.address);
        let member = self.build_member(&listening);
        // The call server and the admin server have no member to return until this is set.
        let _ = self.member.set(member.clone());
        let (released_sender, released) = watch::channel(false);
        let parts = self.control_parts(member.clone(), released_sender);
        let seed = member.incarnation.0;
        let (control, control_ended) =
            ControlLoop::spawn(parts, receiver, seed).map_err(SpawnError::Thread)?;
        self.start_metrics();
        let handle = self.node_handle(released);
        Ok(RunningNode {
            member,
            listening,
            view: self.node.view,
            handle,
            control: Some(control),
            control_ended,
            _admin: admin,
            _calls: calls,
            _link: self.link,
            service: self.service,
        })
    }

    fn listening(&self, control: SocketAddr, admin: SocketAddr) -> ListeningLine {
        ListeningLine {
            event: "listening".to_owned(),
            node: self.node.settings.node.clone(),
            traffic: self.traffic.address,
            heartbeat: self.link.address,
            control,
            admin,
        }
    }

    fn build_member(&self, listening: &ListeningLine) -> Member {
        let settings = &self.node.settings;
        let advertise = &settings.advertise;
        Member {
            node: settings.node.clone(),
            // The wall clock gives a later incarnation a higher number without persistent state.
            incarnation: Incarnation(self.node.boundaries.clock.wall().0),
            zone: settings.zone.clone(),
            server: None,
            service: None,
            traffic: advertised_address(listening.traffic, advertise.traffic),
            heartbeat: advertised_address(listening.heartbeat, advertise.heartbeat),
            control: advertised_address(listening.control, advertise.control),
            admin: advertised_address(listening.admin, advertise.admin),
        }
    }

    fn bind_calls(&self) -> Result<RunningCalls, SpawnError> {
        let settings = &self.node.settings;
        let server = CallServer {
            environment: settings.environment.clone(),
            stage: settings.stage,
            keys: self.node.keys.clone(),
            view: self.node.view.clone(),
            snapshot: self.snapshot.clone(),
            traffic: self.traffic.control.clone(),
            member: self.member.clone(),
        };
        let address = SocketAddr::new(settings.address, settings.ports.control);
        let bound = self.service.run(server.bind(address));
        map_bind_error("the control port", address, bound)
    }

    fn bind_admin(&self) -> Result<RunningAdmin, SpawnError> {
        let settings = &self.node.settings;
        let state = AdminState {
            environment: settings.environment.clone(),
            stage: settings.stage,
            address: settings.address,
            guard_reads: settings.guard_reads,
            keys: self.node.keys.clone(),
            member: self.member.clone(),
            clock: self.node.boundaries.clock.clone(),
            view: self.node.view.clone(),
            board: self.board.clone(),
            inbox: self.inbox.clone(),
            traffic: self.traffic.control.clone(),
            cost: self.cost.clone(),
        };
        let address = SocketAddr::new(settings.address, settings.ports.admin);
        let bound = self.service.run(AdminServer::bind(state, address));
        map_bind_error("the admin port", address, bound)
    }

    fn control_parts(&self, member: Member, released: watch::Sender<bool>) -> ControlParts {
        let settings = &self.node.settings;
        let calls = CallClient::new(self.node.keys.clone());
        ControlParts {
            environment: settings.environment.clone(),
            stage: settings.stage,
            member,
            seeds: settings.seeds.clone(),
            peers: find_peers(&self.service, &calls, &settings.seeds),
            boundaries: self.node.boundaries.clone(),
            link: self.link.link.clone(),
            calls,
            keys: self.node.keys.clone(),
            traffic: self.traffic.control.clone(),
            view: self.node.view.clone(),
            board: self.board.clone(),
            snapshot: self.snapshot.clone(),
            runtime: self.service.handle().clone(),
            inbox: self.inbox.clone(),
            meter: self.cost.control.clone(),
            released,
        }
    }

    fn node_handle(&self, released: watch::Receiver<bool>) -> NodeHandle {
        let (finished_sender, finished) = watch::channel(false);
        let shutdown = NodeShutdown {
            inbox: self.inbox.clone(),
            view: self.node.view.clone(),
            traffic: self.traffic.control.clone(),
            released,
            finished: finished_sender,
            started: AtomicBool::new(false),
        };
        NodeHandle {
            inbox: self.inbox.clone(),
            keys: self.node.keys.clone(),
            runtime: self.service.handle().clone(),
            shutdown: Arc::new(shutdown),
            finished,
        }
    }

    fn start_metrics(&self) {
        let Some(sink) = self.node.settings.statsd else {
            return;
        };
        let metrics = Metrics {
            node: self.node.settings.node.clone(),
            clock: self.node.boundaries.clock.clone(),
            cost: self.cost.clone(),
            view: self.node.view.clone(),
            traffic: self.traffic.control.clone(),
        };
        self.service.handle().spawn(metrics.report_to(sink));
    }
}

fn advertised_address(bound: SocketAddr, port: u16) -> SocketAddr {
    match port {
        0 => bound,
        port => SocketAddr::new(bound.ip(), port),
    }
}

fn open_link(node: &Node, inbox: &ControlInbox) -> Result<OpenLink, SpawnError> {
    let settings = &node.settings;
    let address = SocketAddr::new(settings.address, settings.ports.heartbeat);
    let opened = node.boundaries.peers.open(address, Arc::new(inbox.clone()));
    map_bind_error("the heartbeat port", address, Ok(opened))
}

fn map_bind_error<T>(
    part: &'static str,
    address: SocketAddr,
    bound: io::Result<io::Result<T>>,
) -> Result<T, SpawnError> {
    bound
        .and_then(|bound| bound)
        .map_err(|source| SpawnError::Bind {
            part,
            address,
            source,
        })
}
