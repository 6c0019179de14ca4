//! Late heartbeats of a server's earlier life let a grant with its token through to the next life.
//!
//! Keys are granted by calls. A server crashes and starts again at once. Its last two heartbeats before the crash are
//! late and arrive before the first one of the next life. The node opens connections at the first and counts them as
//! connections to the earlier life at the second, and renews the grants of the earlier life on them.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::Client;
use crate::deployment::Deployment;
use crate::server::{Grants, HEARTBEAT, Row, Server};

const DOWNTIME: Duration = Duration::from_millis(150);

pub fn play(record: &Path, trouble: bool) -> Verdict {
    let mut world = Deployment::start(4, Some(Grants::Call), Duration::from_millis(60));
    world.start_servers();
    let verdict = if world.wait_serving() { run(&mut world, trouble) } else { Verdict::NotRun };
    world.finish();
    world.write_record(record);
    verdict
}

fn run(world: &mut Deployment, trouble: bool) -> Verdict {
    let clients: Vec<Client> = (0..world.nodes.len()).map(|machine| Client {
        machine,
        address: world.nodes[machine].clients,
        method: "POST",
        path: "/order/1",
        keyed: true,
        sent: Arc::default(),
        numbers: Arc::default(),
        record: world.record.clone(),
    }).collect();
    world.send_requests(&clients, Duration::from_millis(60));
    thread::sleep(Duration::from_secs(3));
    let leader = world.leader();
    let machine = (0..world.nodes.len()).find(|index| *index != leader).unwrap();
    let first_life = world.servers[machine].clone();
    let acknowledged = first_life.acknowledged();
    while first_life.acknowledged() == acknowledged {
        thread::sleep(Duration::from_millis(2));
    }
    // The heartbeats before the crash are late: one every 0.87 s, of which the last is written just before it.
    first_life.stop_heartbeats();
    let late = first_life.next_heartbeat();
    first_life.note("writes a heartbeat");
    thread::sleep(HEARTBEAT);
    let had = first_life.holds();
    let latest = first_life.next_heartbeat();
    first_life.note("writes a heartbeat");
    first_life.crash();
    thread::sleep(DOWNTIME);
    let next_life = Server::start(&format!("i-{machine}b"), world.plans[machine].clone(), HEARTBEAT, &world.record);
    world.servers[machine] = next_life.clone();
    if trouble {
        thread::sleep(Duration::from_millis(100));
        first_life.deliver_late(&late);
        thread::sleep(Duration::from_millis(350));
        first_life.deliver_late(&latest);
    }
    let until = Instant::now() + Duration::from_secs(6);
    let mut broken: Option<Row> = None;
    while Instant::now() < until {
        let reused = |row: &&Row| had.iter().any(|had| had.0 <= row.1 && row.0 <= had.1 && had.2 >= row.2);
        let holds = next_life.holds();
        if let Some(row) = holds.iter().find(reused).filter(|_| broken.is_none()) {
            world.record.note(format!("OWNER broken: {} holds {row:?}; {} had {had:?}", next_life.id, first_life.id));
            broken = Some(*row);
        }
        thread::sleep(Duration::from_millis(5));
    }
    match broken {
        Some(_) => Verdict::Broken,
        None => Verdict::Held,
    }
}
