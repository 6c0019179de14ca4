//! What egress does between requests.

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

/// How often waiting requests are looked at again.
const TICK: Duration = Duration::from_millis(5);
/// How often the rest is looked after while none wait; each look costs the host a wake-up.
const IDLE_TICK: Duration = Duration::from_millis(50);
/// How long a leaving node waits for work that goes on without a caller.
const IDLE_WAIT: Duration = Duration::from_secs(10);

/// Is what egress last took over from the views.
#[derive(Debug, Default)]
pub(super) struct Upkeep {
    announced: Option<Arc<Announcement>>,
    life: Option<Incarnation>,
    warmed: usize,
}

impl Egress {
    /// Follows the backend server's announcements and the passing of time, for ever.
    pub(in crate::traffic) async fn keep_up(self: Arc<Self>) {
        loop {
            self.follow_announcement();
            self.follow_orders();
            let mut pause = IDLE_TICK;
            if self.slots.waiting() > 0 {
                self.slots.step(AdmissionEvent::Tick);
                pause = TICK;
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Makes sure that admission knows the life of the backend server that is about to be asked.
    /// Otherwise the first requests to a restarted one would be sent under the limit of its
    /// warm predecessor.
    pub(super) fn follow_life(self: &Arc<Self>, server: &Announcement) {
        if self.life.load(Ordering::Acquire) != server.incarnation.0 {
            self.follow_announcement();
        }
    }

    /// Returns the current counts.
    pub(in crate::traffic) fn measure(&self) -> TrafficStats {
        let now = self.clock.now();
        let load = self.slots.load();
        let period = self.load.take(now);
        TrafficStats {
            limit: load.limit,
            in_flight: self.slots.in_flight(),
            latency_us: load.latency_us,
            state: self.slots.server_state(),
            slices: period.slices,
            keys: period.keys,
        }
    }

    /// Returns the load as other nodes are told of it.
    pub(in crate::traffic) fn load(&self) -> NodeLoad {
        self.slots.load()
    }

    /// Returns what the backend server was given since the node started.
    pub(in crate::traffic) fn work(&self) -> Vec<WorkSample> {
        let announced = self.view.announcement.load_full();
        let sample = announced.map(|server| WorkSample {
            service: server.service.clone(),
            server: server.server.clone(),
            sent: self.sent.load(Ordering::Relaxed),
        });
        sample.into_iter().collect()
    }

    /// Resolves once no slot is in use, or after a while: a frozen backend server must not keep
    /// the node from leaving.
    pub(in crate::traffic) async fn wait_until_idle(&self) {
        let give_up = self.clock.now() + IDLE_WAIT;
        while self.slots.in_flight().0 > 0 && self.clock.now() < give_up {
            tokio::time::sleep(TICK).await;
        }
    }

    fn follow_announcement(self: &Arc<Self>) {
        let Some(server) = self.view.announcement.load_full() else {
            return;
        };
        let mut upkeep = self.upkeep.lock().unwrap_or_else(PoisonError::into_inner);
        let known = upkeep.announced.as_ref();
        if !known.is_some_and(|known| Arc::ptr_eq(known, &server)) {
            let intent = self.view.intent.load();
            let service = intent
                .as_ref()
                .and_then(|intent| intent.document.service(&server.service));
            let Some(service) = service else {
                return;
            };
            if upkeep.life != Some(server.incarnation) {
                self.link.fit(&server);
                upkeep.life = Some(server.incarnation);
                upkeep.warmed = 0;
            }
            let profile = ServerProfile::new(&server, service);
            self.slots.step(AdmissionEvent::ServerAnnounced(profile));
            self.life.store(server.incarnation.0, Ordering::Release);
            upkeep.announced = Some(Arc::clone(&server));
        }
        self.warm_ahead(&mut upkeep, &server);
    }

    /// Opens connections for as many requests as the limit allows, whenever it has doubled.
    fn warm_ahead(self: &Arc<Self>, upkeep: &mut Upkeep, server: &Announcement) {
        let limit = self.slots.limit().0 as usize;
        if limit < upkeep.warmed * 2 || limit == upkeep.warmed {
            return;
        }
        upkeep.warmed = limit;
        let egress = Arc::clone(self);
        let address = server.address;
        tokio::spawn(async move { egress.link.warm(address, limit).await });
    }

    fn follow_orders(self: &Arc<Self>) {
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
                self.slots.step(AdmissionEvent::ServerRestored);
            }
            false if out_since == 0 => {
                let now = self.clock.now().0.max(1);
                self.out_since.store(now, Ordering::Relaxed);
            }
            _ => {}
        }
    }
}
