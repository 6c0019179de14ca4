//! Start and stop of the traffic threads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::boundary::Clock;
use tokio::runtime::Runtime;
use tokio::sync::watch;

use super::config::TrafficConfig;
use super::error::TrafficError;
use super::server;
use super::suspects::exchange_news;
use super::traffic_core::TrafficCore;
use crate::shared::HandoverLink;
use crate::shared::SharedView;
use crate::shared::SuspectLink;

/// How long connections are still accepted, and closed with their next response, after a shutdown
/// was requested; within this time the other nodes and the callers move to other nodes.
pub(super) const SHUTDOWN_GRACE: Duration = Duration::from_millis(500);

/// Opens the traffic port.
pub struct Traffic;

/// The open traffic port and its threads; dropping it aborts every request.
pub struct RunningTraffic {
    pub(super) core: Arc<TrafficCore>,
    pub(super) shutdown: watch::Sender<bool>,
    pub(super) stopped: watch::Receiver<bool>,
    address: SocketAddr,
    runtime: Option<Runtime>,
}

impl Traffic {
    /// Opens the traffic port and serves it on its own threads.
    ///
    /// Fails if the port is in use or the operating system can't start the threads.
    pub fn bind(
        config: TrafficConfig,
        view: Arc<SharedView>,
        clock: Arc<dyn Clock>,
        handovers: Arc<dyn HandoverLink>,
        suspect_link: Arc<dyn SuspectLink>,
    ) -> Result<RunningTraffic, TrafficError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(config.threads.max(1))
            .thread_name("traffic")
            .enable_all()
            .build()
            .map_err(TrafficError::Threads)?;
        let requested = SocketAddr::new(config.address, config.port);
        let seeds = config.seeds.clone();
        let core = TrafficCore::new(config, Arc::clone(&view), clock, handovers)
            .map(Arc::new)
            .map_err(TrafficError::Connections)?;
        let listener = {
            let _guard = runtime.enter();
            server::listen(requested)?
        };
        let address = listener.local_addr().map_err(|source| TrafficError::Bind {
            address: requested,
            source,
        })?;
        let (shutdown, shutdown_requested) = watch::channel(false);
        let (stop, stopped) = watch::channel(false);
        let shared_core = Arc::clone(&core);
        runtime.spawn(async move {
            server::serve(listener, shared_core, shutdown_requested).await;
            stop.send_replace(true);
        });
        runtime.spawn(Arc::clone(&core.egress).maintain());
        let suspects = Arc::clone(&core.suspects);
        runtime.spawn(exchange_news(suspects, view, suspect_link, seeds));
        Ok(RunningTraffic {
            core,
            shutdown,
            stopped,
            address,
            runtime: Some(runtime),
        })
    }
}

impl RunningTraffic {
    /// Returns the address on which requests are accepted.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for RunningTraffic {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
