//! Announces the server to the node beside it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use super::BackendServer;

/// How often the server announces itself.
const PERIOD: Duration = Duration::from_millis(500);
/// How long an announcement may take.
const PATIENCE: Duration = Duration::from_secs(2);

/// Goes on announcing the server for as long as the process lives; does nothing without a node.
pub fn spawn_announcer(server: Arc<BackendServer>, address: SocketAddr) {
    let Some(admin) = server.settings.admin else {
        return;
    };
    tokio::spawn(async move {
        let url = format!("http://{admin}/announcements");
        let sender = reqwest::Client::new();
        let mut ticks = interval(PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let faults = server.faults();
            if faults.silent || faults.frozen {
                continue;
            }
            let told = server.announcement(address);
            let sent = sender.post(&url).json(&told).timeout(PATIENCE).send().await;
            if let Err(error) = sent {
                log::debug!(event = "announcement_failed", error:% = error; "the node did not answer");
            }
        }
    });
}
