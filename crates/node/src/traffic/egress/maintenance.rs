//! Periodic work of egress.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;

use quetzalrack_core::burn::WorkSample;
use quetzalrack_core::cluster::Announcement;
use quetzalrack_core::ids::Incarnation;
use quetzalrack_core::traffic::TrafficStats;
use quetzalrack_core::traffic::admission::AdmissionEvent;
use quetzalrack_core::traffic::admission::ServerProfile;
use quetzalrack_core::traffic::balancing::NodeLoad;

use super::Egress;
use super::server_end::EndSign;
use super::server_end::server_life;

/// The interval at which admission control is run while requests wait.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The interval of periodic work while no request waits; every run costs the host a wake-up.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a shutdown waits for work that continues without a caller.
const MAX_IDLE_WAIT: Duration = Duration::from_secs(10);

/// The state of the backend server that egress last applied from the shared views.
#[derive(Debug, Default)]
pub(super) struct Maintenance {
    announcement: Option<Arc<Announcement>>,
    incarnation: Option<Incarnation>,
    warmed_count: usize,
}

impl Egress {
    /// Applies changes of the shared views and runs admission control periodically, forever.
    pub(in crate::traffic) async fn maintain(self: Arc<Self>) {
        loop {
            self.apply_announcement();
            self.apply_operator_orders();
            let mut pause = IDLE_POLL_INTERVAL;
            if self.slots.waiting() > 0 {
                self.slots.handle_event(AdmissionEvent::Tick);
                pause = QUEUE_POLL_INTERVAL;
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Makes sure that admission control knows the backend server's current incarnation. Otherwise
    /// the first requests to a restarted server would be sent under the limit of its warm
    /// predecessor.
    pub(super) fn update_incarnation(self: &Arc<Self>, server: &Announcement) {
        if self.incarnation.load(Ordering::Acquire) != server.incarnation.0 {
            self.apply_announcement();
        }
    }

    /// Returns the current load, and the request rates since the last call.
    pub(in crate::traffic) fn measure(&self) -> TrafficStats {
        let now = self.clock.now();
        let load = self.slots.load();
        let period = self.load.take_rates(now);
        TrafficStats {
            limit: load.limit,
            in_flight: self.slots.in_flight(),
            latency_us: load.latency_us,
            state: self.slots.server_state(),
            slices: period.slices,
            keys: period.keys,
        }
    }

    /// Returns the load that is reported to other nodes.
    pub(in crate::traffic) fn load(&self) -> NodeLoad {
        self.slots.load()
    }

    /// Returns the number of requests sent to the backend server since the node started.
    pub(in crate::traffic) fn work_samples(&self) -> Vec<WorkSample> {
        let announcement = self.view.announcement.load_full();
        let sample = announcement.map(|server| WorkSample {
            service: server.service.clone(),
            server: server.server.clone(),
            sent: self.sent_count.load(Ordering::Relaxed),
        });
        sample.into_iter().collect()
    }

    /// Resolves once no slot is in use, or after a timeout: a frozen backend server must not block
    /// the node's shutdown.
    pub(in crate::traffic) async fn wait_until_idle(&self) {
        let give_up = self.clock.now() + MAX_IDLE_WAIT;
        while self.slots.in_flight().0 > 0 && self.clock.now() < give_up {
            tokio::time::sleep(QUEUE_POLL_INTERVAL).await;
        }
    }

    fn apply_announcement(self: &Arc<Self>) {
        let Some(server) = self.view.announcement.load_full() else {
            return;
        };
        let mut maintenance = self
            .maintenance
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let known = maintenance.announcement.as_ref();
        if !known.is_some_and(|known| Arc::ptr_eq(known, &server)) {
            let intent = self.view.intent.load();
            let service = intent
                .as_ref()
                .and_then(|intent| intent.document.service(&server.service));
            let Some(service) = service else {
                return;
            };
            if maintenance.incarnation != Some(server.incarnation) {
                if let Some(previous) = &maintenance.announcement {
                    let life = server_life(&previous.server, previous.incarnation);
                    self.record_end(life, &previous.server, EndSign::Replaced);
                }
                self.client.limit_idle(&server);
                maintenance.incarnation = Some(server.incarnation);
                maintenance.warmed_count = 0;
            }
            let profile = ServerProfile::new(&server, service);
            self.slots
                .handle_event(AdmissionEvent::ServerAnnounced(profile));
            self.incarnation
                .store(server.incarnation.0, Ordering::Release);
            maintenance.announcement = Some(Arc::clone(&server));
        }
        self.prewarm_connections(&mut maintenance, &server);
    }

    /// Opens as many connections as the limit allows requests, whenever the limit has doubled.
    fn prewarm_connections(self: &Arc<Self>, maintenance: &mut Maintenance, server: &Announcement) {
        let limit = self.slots.limit().0 as usize;
        if limit < maintenance.warmed_count * 2 || limit == maintenance.warmed_count {
            return;
        }
        maintenance.warmed_count = limit;
        let egress = Arc::clone(self);
        let address = server.address;
        tokio::spawn(async move { egress.client.open_connections(address, limit).await });
    }

    fn apply_operator_orders(self: &Arc<Self>) {
        let Some(server) = self.view.announcement.load_full() else {
            return;
        };
        let intent = self.view.intent.load();
        let takes_work = intent
            .as_ref()
            .is_none_or(|intent| intent.takes_work(&self.zone, &server.server));
        let out_since = self.out_since.load(Ordering::Relaxed);
        match takes_work {
            true if out_since != 0 => {
                self.out_since.store(0, Ordering::Relaxed);
                self.slots.handle_event(AdmissionEvent::ServerRestored);
            }
            false if out_since == 0 => {
                let now = self.clock.now().0.max(1);
                self.out_since.store(now, Ordering::Relaxed);
            }
            _ => {}
        }
    }
}
