//! Periodic sending of the node's metrics.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use cadence::BufferedUdpMetricSink;
use cadence::Gauged;
use cadence::MetricResult;
use cadence::StatsdClient;
use quetzalrack_core::boundary::Clock;
use quetzalrack_core::ids::NodeName;

use crate::meters::CostMeter;
use crate::shared::SharedView;
use crate::shared::TrafficControl;

/// Interval between reports. All metrics are gauges of running totals, so the next report makes up
/// for a lost datagram.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Prefix of every metric's name.
const PREFIX: &str = "quetzalrack.node";

/// Reports the metrics of one node; created only if the settings name a statsd address.
pub struct Metrics {
    /// The node's name, a tag of every metric.
    pub node: NodeName,
    /// The host's clocks.
    pub clock: Arc<dyn Clock>,
    /// Resource use of the control work.
    pub cost: Arc<CostMeter>,
    /// The state shared by the node's threads.
    pub view: Arc<SharedView>,
    /// Provides the traffic threads' counts.
    pub traffic: Arc<dyn TrafficControl>,
}

impl Metrics {
    /// Sends the metrics to `sink` until the runtime stops.
    pub async fn report_to(self, sink: SocketAddr) {
        let client = match open_statsd(sink, &self.node) {
            Ok(client) => client,
            Err(error) => {
                log::error!(event = "metrics_unavailable", sink:% = sink; "{error}");
                return;
            }
        };
        let mut interval = tokio::time::interval(REPORT_INTERVAL);
        loop {
            interval.tick().await;
            if let Err(error) = self.report(&client) {
                log::debug!(event = "metrics_lost"; "{error}");
            }
        }
    }

    fn report(&self, client: &StatsdClient) -> MetricResult<()> {
        let cost = self.cost.read(self.clock.now());
        client.gauge("control.cpu_us", cost.control_us)?;
        client.gauge("memory.resident_bytes", cost.resident.0)?;
        client.gauge("peers.bytes_out", cost.peer_out.0)?;
        client.gauge("peers.bytes_in", cost.peer_in.0)?;
        client.gauge("peers.datagrams_out", cost.datagrams_out)?;
        client.gauge("peers.datagrams_in", cost.datagrams_in)?;
        client.gauge("peers.datagrams_refused", cost.datagrams_refused)?;
        client.gauge("log.bytes_out", cost.log_out.0)?;
        client.gauge("log.bytes_in", cost.log_in.0)?;
        let leases = self.view.leases.load().leases.len();
        client.gauge("ownership.leases", leases as u64)?;
        let intent = self.view.intent.load();
        let version = intent.as_ref().map_or(0, |intent| intent.version.0);
        client.gauge("intent.version", version)?;
        self.report_traffic(client)?;
        client.flush()
    }

    fn report_traffic(&self, client: &StatsdClient) -> MetricResult<()> {
        for sample in self.traffic.route_samples() {
            let counts = &sample.counts;
            let outcomes = [
                ("traffic.served", counts.served),
                ("traffic.late", counts.late),
                ("traffic.refused", counts.refused),
                ("traffic.unknown", counts.unknown),
                ("traffic.failed", counts.failed),
            ];
            for (name, count) in outcomes {
                client
                    .gauge_with_tags(name, count)
                    .with_tag("service", sample.service.as_str())
                    .with_tag("route", sample.route.as_str())
                    .try_send()?;
            }
        }
        Ok(())
    }
}

fn open_statsd(sink: SocketAddr, node: &NodeName) -> MetricResult<StatsdClient> {
    let local_address = match sink {
        SocketAddr::V4(_) => "0.0.0.0:0",
        SocketAddr::V6(_) => "[::]:0",
    };
    let socket = UdpSocket::bind(local_address)?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(sink, socket)?;
    let builder = StatsdClient::builder(PREFIX, sink);
    Ok(builder.with_tag("node", node.as_str()).build())
}
