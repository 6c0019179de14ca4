//! A late heartbeat of a server that leaves reaches processes that have just started.
//!
//! A server says that it leaves with DELETE, which is acknowledged, and goes on serving. All processes are killed and
//! start again. A heartbeat that the server wrote before its DELETE arrives late. Nobody knows any more that the
//! server leaves, and requests are sent to it until it ends.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::Client;
use crate::deployment::Deployment;

const DRAIN: Duration = Duration::from_millis(2_000);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// How long after its acknowledgement the server goes on serving: `drain` and many seconds.
const SERVES_ON: Duration = Duration::from_secs(12);
/// How long the heartbeat is late.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(2_500);

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
    let leaving = world.servers[1].clone();
    leaving.stop_heartbeats();
    let late = leaving.next_heartbeat();
    let written = Instant::now();
    thread::sleep(Duration::from_millis(50));
    let Some(acknowledged) = leaving.leave(Duration::from_secs(4)) else {
        world.record.note("DELETE is not acknowledged");
        return Verdict::NotRun;
    };
    thread::sleep(Duration::from_millis(500));
    if trouble {
        for node in &mut world.nodes {
            node.kill();
        }
        thread::sleep(RESTART_DELAY);
        for node in &mut world.nodes {
            node.start();
        }
        thread::sleep(HEARTBEAT_DELAY.saturating_sub(written.elapsed()));
        if leaving.deliver_late(&late).is_none() {
            world.record.note("the late heartbeat finds nobody");
            return Verdict::NotRun;
        }
    }
    let in_touch = world.nodes.iter().map(|node| node.started + STABLE_WINDOW).max().unwrap();
    thread::sleep(SERVES_ON.saturating_sub(acknowledged.elapsed()));
    leaving.crash();
    thread::sleep(Duration::from_secs(2));
    let since = in_touch.max(acknowledged + DRAIN);
    let late_runs: Vec<_> = leaving.runs().into_iter().filter(|run| run.begun > since).collect();
    // Requests that were sent while their machine was in touch.
    let sent: Vec<_> = clients.iter().flat_map(|client| client.sent.lock().unwrap().clone()).collect();
    let counted = late_runs.iter().filter(|run| sent.iter().any(|sent| sent.id == run.id && sent.at > in_touch));
    let counted = counted.count();
    let lost = sent.iter().filter(|sent| sent.at > since && sent.status == Some(502)).count();
    world.record.note(format!(
        "{counted} requests, sent by machines in touch, reached {} later than {} ms after its acknowledgement; {lost} requests ended with 502",
        leaving.id, DRAIN.as_millis()
    ));
    match counted > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
