//! The options of `run`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use quetzalrack_core::document::EnvironmentDocument;

use crate::arrivals::ArrivalShape;
use crate::drive::LoadPlan;
use crate::keys::KeyPlan;
use crate::mix::RouteMix;

/// Describes one load to running nodes.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct RunOptions {
    /// The environment's document
    #[arg(long)]
    pub document: PathBuf,
    /// Traffic addresses of nodes, separated by commas
    #[arg(long, value_delimiter = ',', required = true)]
    pub nodes: Vec<SocketAddr>,
    /// Requests a second
    #[arg(long, default_value_t = 100.0)]
    pub rate: f64,
    /// How long, in seconds
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
    /// Send half of the requests in bursts this many milliseconds apart
    #[arg(long)]
    pub burst_ms: Option<u64>,
    /// Move the hottest keys this often, in seconds
    #[arg(long)]
    pub move_keys: Option<u64>,
    /// Seeds every draw
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Write the summary as JSON to this file too
    #[arg(long)]
    pub json: Option<PathBuf>,
}

impl RunOptions {
    /// Plans the load that the options describe.
    pub fn plan(&self, document: &EnvironmentDocument) -> LoadPlan {
        let bursts = |every| ArrivalShape::Bursts {
            every: Duration::from_millis(every),
        };
        LoadPlan {
            rate: self.rate,
            duration: Duration::from_secs(self.seconds),
            shape: self.burst_ms.map_or(ArrivalShape::Poisson, bursts),
            keys: KeyPlan {
                move_every: self.move_keys.map(Duration::from_secs),
                ..KeyPlan::default()
            },
            mix: RouteMix::of(document),
            bytes: None,
            seed: self.seed,
        }
    }
}
