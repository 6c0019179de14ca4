//! Measures how long a change takes from the operator's append until it is in force at every node,
//! and what it costs a node in bytes.
//!
//! One stand-in for a backend server takes the grants of all nodes, so that there is a controller.
//! Nodes run as threads of this process with real sockets; the log service is a process of its own.
//! One node in eight can't reach the log and asks its peers. Usage: `measure_change [NODES ...]`.

mod announcements;
mod fleet;
mod no_log;
mod observation;

use std::sync::Arc;
use std::time::Duration;

use announcements::Backend;
use fleet::Fleet;
use observation::Observation;
use quetzalrack_core::ids::Version;
use quetzalrack_core::intent::Order;
use quetzalrack_core::intent::Stage;
use quetzalrack_node::platform::HttpLog;
use quetzalrack_node::platform::LogCounters;
use quetzalrack_operator::desk::DeskConfig;
use quetzalrack_operator::desk::OrderDesk;
use quetzalrack_operator::desk::OrderDraft;
use quetzalrack_operator::desk::Verdict;
use quetzalrack_standins::log_service::LogSettings;
use quetzalrack_standins::log_service::LogTruth;
use quetzalrack_standins::process::ListeningLine;
use quetzalrack_testutils::process::Program;
use quetzalrack_testutils::process::RunningProcess;

const ROUNDS: u64 = 40;
const SIZES: [usize; 4] = [16, 32, 64, 128];
const PAUSE: Duration = Duration::from_millis(250);
const SETTLING: Duration = Duration::from_secs(15);
const DOCUMENT: &str = include_str!("../../../../examples/andina.json");

type Failure = Box<dyn std::error::Error>;

#[tokio::main]
async fn main() -> Result<(), Failure> {
    let mut sizes = Vec::new();
    for argument in std::env::args().skip(1) {
        sizes.push(argument.parse()?);
    }
    if sizes.is_empty() {
        sizes = SIZES.to_vec();
    }
    println!(
        "nodes  with log: median ms  worst ms  without log: median ms  worst ms  reverts  bytes per change and node  snapshot bytes"
    );
    for size in sizes {
        measure(size).await?;
    }
    Ok(())
}

async fn measure(size: usize) -> Result<(), Failure> {
    let settings = serde_json::to_string(&LogSettings::default())?;
    let log = RunningProcess::spawn(Program::Log, ["--json", settings.as_str()], None)?;
    let line: ListeningLine = log.listening_async().await?;
    let url = format!("http://{}", line.address);
    let fleet = tokio::task::spawn_blocking({
        let url = url.clone();
        move || Fleet::start(size, &url).map_err(|error| error.to_string())
    })
    .await??;
    let mut desk = open_desk(&fleet, &url)?;
    put_in_force(&mut desk).await?;
    let backend = Backend::start().await?;
    let announcing = backend.announce_at(fleet.admins());
    fleet.wait_for(Version(1)).await;
    // Joins and claims of a fleet that starts are not the cost of a change.
    tokio::time::sleep(SETTLING).await;
    let mut seen = Observation::default();
    let before = fleet.log_bytes();
    let control_before = control_records(&url).await?;
    for round in 0..ROUNDS {
        tokio::time::sleep(PAUSE).await;
        let version = Version(round + 2);
        let watched = fleet.watch(version);
        give(&mut desk, round).await?;
        seen.add(watched.await?);
    }
    let readers = fleet.readers() as u64;
    let bytes = (fleet.log_bytes() - before) / ROUNDS / readers;
    let snapshot = serde_json::to_vec(&desk.state().snapshot())?.len();
    let control = control_records(&url).await? - control_before;
    println!("{}  {control:>15}", seen.row(size, bytes, snapshot));
    announcing.abort();
    tokio::task::spawn_blocking(move || drop(fleet)).await?;
    Ok(())
}

/// Counts the records of the control stream, which nodes read too.
async fn control_records(url: &str) -> Result<u64, Failure> {
    let truth: LogTruth = reqwest::get(format!("{url}/truth")).await?.json().await?;
    let control = truth
        .streams
        .iter()
        .filter(|stream| stream.stream.ends_with(".control"));
    Ok(control.map(|stream| stream.next).sum())
}

fn open_desk(fleet: &Fleet, url: &str) -> Result<OrderDesk, Failure> {
    let config = DeskConfig {
        environment: "andina".parse()?,
        operator: "measure".parse()?,
        keys: fleet.operator_ring()?,
        pause: DeskConfig::PAUSE,
        attempts: DeskConfig::ATTEMPTS,
    };
    let log = HttpLog::open(url, Arc::new(LogCounters::default()))?;
    Ok(OrderDesk::open(config, Arc::new(log)))
}

async fn put_in_force(desk: &mut OrderDesk) -> Result<(), Failure> {
    let digest = quetzalrack_core::ids::DocumentDigest::of(DOCUMENT.as_bytes());
    for (order, document) in [
        (Order::Publish { digest }, Some(DOCUMENT.to_owned())),
        (Order::Promote { digest }, None),
    ] {
        let draft = OrderDraft {
            order,
            base: Version(0),
            why: "measured".to_owned(),
            document,
        };
        accepted(desk.give(draft).await?)?;
    }
    Ok(())
}

async fn give(desk: &mut OrderDesk, round: u64) -> Result<(), Failure> {
    let stage = Stage::Production;
    let zone = "suba".parse()?;
    let order = match round % 2 {
        0 => Order::ZoneOut { stage, zone },
        _ => Order::ZoneIn { stage, zone },
    };
    let draft = OrderDraft {
        order,
        base: Version(round + 1),
        why: "measured".to_owned(),
        document: None,
    };
    accepted(desk.give(draft).await?)
}

fn accepted(verdict: Verdict) -> Result<(), Failure> {
    match verdict {
        Verdict::Accepted(_) => Ok(()),
        other => Err(format!("{other:?}").into()),
    }
}
