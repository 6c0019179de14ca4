//! A backend server for every node.

use std::net::SocketAddr;
use std::time::Duration;

use quetzalrack_core::cluster::Announcement;
use quetzalrack_core::cluster::ServerState;
use quetzalrack_core::ids::ConnectionCount;
use quetzalrack_core::ids::Incarnation;
use quetzalrack_core::ids::SlotCount;
use quetzalrack_core::time::Milliseconds;
use quetzalrack_standins::backend::ServerSettings;
use quetzalrack_standins::process::ListeningLine;
use quetzalrack_testutils::process::Program;
use quetzalrack_testutils::process::RunningProcess;
use tokio::task::JoinHandle;

use crate::Failure;

const SERVICES: [&str; 4] = ["proof-desk", "order-book", "artwork-store", "job-history"];
const PERIOD: Duration = Duration::from_millis(500);
const SLOTS: SlotCount = SlotCount(18);
const CONNECTIONS: ConnectionCount = ConnectionCount(130);

/// Is one process that takes the grants of every node.
pub struct Backend {
    _process: RunningProcess,
    address: SocketAddr,
}

impl Backend {
    pub async fn start() -> Result<Self, Failure> {
        let settings = ServerSettings {
            service: SERVICES[0].parse()?,
            server: "shared".parse()?,
            admin: None,
            address: std::net::Ipv4Addr::LOCALHOST.into(),
            port: 0,
            slots: SLOTS,
            connections: ConnectionCount(1_000),
            cold_slots: SLOTS,
            warm_up_ms: Milliseconds(0),
            starts_cold: false,
            connect_cost_ms: Milliseconds(0),
            probe_cost_ms: Milliseconds(0),
            checks_fence: false,
            service_time: Default::default(),
            load_lag_ms: Milliseconds(0),
            body_bytes: 1,
            seed: 1,
        };
        let text = serde_json::to_string(&settings)?;
        let process = RunningProcess::spawn(Program::Server, ["--json", text.as_str()], None)?;
        let line: ListeningLine = process.listening_async().await?;
        Ok(Self {
            _process: process,
            address: line.address,
        })
    }

    /// Announces itself to every node, as another backend server at each.
    pub fn announce_at(&self, admins: Vec<SocketAddr>) -> JoinHandle<()> {
        let address = self.address;
        tokio::spawn(async move {
            let http = reqwest::Client::new();
            loop {
                for (index, admin) in admins.iter().enumerate() {
                    let Some(announcement) = announcement(index, address) else {
                        return;
                    };
                    let url = format!("http://{admin}/announcements");
                    // A lost one is followed by another.
                    let _ = http.post(url).json(&announcement).send().await;
                }
                tokio::time::sleep(PERIOD).await;
            }
        })
    }
}

fn announcement(index: usize, address: SocketAddr) -> Option<Announcement> {
    let service = SERVICES[(index / SERVICES.len()) % SERVICES.len()];
    Some(Announcement {
        service: service.parse().ok()?,
        server: format!("{service}-{index}").parse().ok()?,
        address,
        incarnation: Incarnation(1),
        slots: SLOTS,
        connections: CONNECTIONS,
        checks_fence: false,
        state: ServerState::Warm,
        reported_load: 0.0,
    })
}
