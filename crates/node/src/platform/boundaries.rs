//! A node's external dependencies.

use std::sync::Arc;

use quetzalrack_core::boundary::BackendControl;
use quetzalrack_core::boundary::Clock;
use quetzalrack_core::boundary::LogService;

use super::BackendHttp;
use super::BootClock;
use super::DatagramNetwork;
use super::HttpClientError;
use super::HttpLog;
use super::KeyStore;
use super::LogCounters;
use super::PeerNetwork;
use crate::settings::NodeSettings;
use crate::shared::SharedView;

/// A node's external dependencies; tests and benchmarks replace some of them by their own.
#[derive(Clone)]
pub struct Boundaries {
    /// The platform's log service.
    pub log: Arc<dyn LogService>,
    /// The host's clocks.
    pub clock: Arc<dyn Clock>,
    /// The network between nodes.
    pub peers: Arc<dyn PeerNetwork>,
    /// The backend server beside the node.
    pub backend: Arc<dyn BackendControl>,
    /// Counts the bytes exchanged with the log service.
    pub log_counters: Arc<LogCounters>,
}

impl Boundaries {
    /// Opens the dependencies of a deployed node.
    pub fn open(
        settings: &NodeSettings,
        keys: Arc<KeyStore>,
        view: Arc<SharedView>,
    ) -> Result<Self, HttpClientError> {
        let log_counters = Arc::new(LogCounters::default());
        Ok(Self {
            log: Arc::new(HttpLog::open(&settings.log, log_counters.clone())?),
            clock: Arc::new(BootClock),
            peers: Arc::new(DatagramNetwork::new(keys)),
            backend: Arc::new(BackendHttp::open(view)),
            log_counters,
        })
    }
}
