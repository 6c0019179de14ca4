//! The state that all traffic threads share.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use quetzalrack_core::boundary::Clock;

use super::config::TrafficConfig;
use super::counters::Counters;
use super::egress::Egress;
use super::hop::HopAuthenticator;
use super::ingress::Ingress;
use super::suspects::Suspects;
use crate::shared::HandoverLink;
use crate::shared::SharedView;

/// The state that ingress and egress use to serve requests.
pub(super) struct TrafficCore {
    pub(super) config: TrafficConfig,
    pub(super) view: Arc<SharedView>,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) authenticator: HopAuthenticator,
    pub(super) counters: Counters,
    pub(super) egress: Arc<Egress>,
    pub(super) ingress: Ingress,
    pub(super) suspects: Arc<Suspects>,
    /// Set once the node shuts down: every response then closes its connection.
    pub(super) shutting_down: AtomicBool,
}

impl TrafficCore {
    pub(super) fn new(
        config: TrafficConfig,
        view: Arc<SharedView>,
        clock: Arc<dyn Clock>,
        handovers: Arc<dyn HandoverLink>,
    ) -> Result<Self, reqwest::Error> {
        let authenticator = HopAuthenticator::new(config.node.clone(), Arc::clone(&config.keys));
        let suspects = Arc::new(Suspects::new(
            config.node.clone(),
            Arc::clone(&clock),
            Arc::clone(&view),
        ));
        let egress = Egress::new(
            config.zone.clone(),
            Arc::clone(&view),
            Arc::clone(&clock),
            handovers,
            Arc::clone(&suspects),
        );
        let ingress = Ingress::new(&config, Arc::clone(&clock))?;
        Ok(Self {
            authenticator,
            counters: Counters::default(),
            egress: Arc::new(egress),
            ingress,
            suspects,
            shutting_down: AtomicBool::new(false),
            config,
            view,
            clock,
        })
    }
}
