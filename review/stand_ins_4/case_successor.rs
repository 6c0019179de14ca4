//! A late heartbeat of a server's earlier life under the same id arrives while the present life leaves.
//!
//! A server crashes and starts again under its id. It says that it leaves with DELETE, which is acknowledged, and goes
//! on serving. A heartbeat that its earlier life wrote before the crash arrives late, when the present life has been
//! silent for a while. The node takes the earlier life for a next one that is ready, and sends requests to the server
//! that leaves until it ends.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::Client;
use crate::deployment::Deployment;
use crate::server::Server;

const DRAIN: Duration = Duration::from_millis(2_000);
/// How long the server was away between its two lives.
const DOWNTIME: Duration = Duration::from_millis(300);
/// How long the second life serves before it leaves.
const SECOND_LIFE: Duration = Duration::from_millis(1_500);
/// How long after its acknowledgement the server goes on serving: `drain` and many seconds.
const SERVES_ON: Duration = Duration::from_secs(10);
/// How long after the acknowledgement of the DELETE the late heartbeat arrives.
const ARRIVES_AFTER: Duration = Duration::from_millis(3_000);

pub fn play(record: &Path, trouble: bool) -> Verdict {
    let mut world = Deployment::start(4, None, Duration::from_millis(120));
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
        keyed: false,
        sent: Arc::default(),
        numbers: Arc::default(),
        record: world.record.clone(),
    }).collect();
    world.send_requests(&clients, Duration::from_millis(40));
    thread::sleep(Duration::from_secs(4));
    let first_life = world.servers[1].clone();
    let mut late = None;
    if trouble {
        // The last heartbeat that the first life writes will be late.
        first_life.stop_heartbeats();
        late = Some((first_life.next_heartbeat(), Instant::now()));
        first_life.note("writes a heartbeat that is held up");
        first_life.crash();
        thread::sleep(DOWNTIME);
        let second_life = Server::start(&first_life.id, world.plans[1].clone(), Duration::ZERO, &world.record);
        world.servers[1] = second_life;
    }
    let leaving = world.servers[1].clone();
    thread::sleep(SECOND_LIFE);
    let served = leaving.runs().len();
    let Some(acknowledged) = leaving.leave(Duration::from_secs(4)) else {
        world.record.note("DELETE is not acknowledged");
        return Verdict::NotRun;
    };
    thread::sleep(ARRIVES_AFTER);
    if let Some((late, written)) = late {
        world.record.note(format!("the heartbeat is {} ms late", written.elapsed().as_millis()));
        if first_life.deliver_late(&late).is_none() {
            return Verdict::NotRun;
        }
    }
    thread::sleep(SERVES_ON.saturating_sub(acknowledged.elapsed()));
    leaving.crash();
    thread::sleep(Duration::from_secs(2));
    let since = acknowledged + DRAIN;
    let counted = leaving.runs().into_iter().filter(|run| run.begun > since).count();
    let sent: Vec<_> = clients.iter().flat_map(|client| client.sent.lock().unwrap().clone()).collect();
    let lost = sent.iter().filter(|sent| sent.at > since && sent.status == Some(502)).count();
    world.record.note(format!(
        "{served} requests reached the server before it left; {counted} reached it later than {} ms after its \
         acknowledgement; {lost} requests ended with 502",
        DRAIN.as_millis()
    ));
    match counted > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
