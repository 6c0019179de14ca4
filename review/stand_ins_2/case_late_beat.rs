//! A server crashes and starts again, and is granted keys. The process beside it is killed and started again.
//! The first heartbeat that reaches the new process is the last one of the crashed server, which was delayed.
//!
//! The node takes the crashed server for the one that runs now and says so to the leader. The leader takes the
//! running server for ended, and grants its keys to others at once, though it holds them for seconds.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::deployment::Deployment;
use crate::server::Server;
use crate::watch;
use crate::watch::KEYS;
use crate::watch::wait_for_beat;

pub fn run(folder: &Path, trouble: bool) -> i32 {
    let services = [("catalog", true), ("catalog", true), ("catalog", true)];
    let mut deployment = Deployment::start(&services, Duration::from_millis(20));
    let code = play(&mut deployment, trouble);
    deployment.finish(folder);
    code
}

fn play(deployment: &mut Deployment, trouble: bool) -> i32 {
    let record = Arc::clone(&deployment.record);
    // The server starts, crashes soon after and starts again, before keys are granted. A heartbeat of its first
    // life is delayed by a partition.
    thread::sleep(Duration::from_millis(400));
    let leads = |index: &usize| !deployment.machines[*index].log_lines("leads").is_empty();
    let Some(leader) = (0..deployment.machines.len()).find(leads) else {
        record.note("no node leads yet");
        return 2;
    };
    // The leader's process stays.
    let chosen = (leader + 1) % deployment.machines.len();
    let servers: Vec<Server> =
        deployment.machines.iter().map(|machine| machine.server.clone()).collect();
    let server = servers[chosen].clone();
    let (head, body, ..) = server.compose_beat();
    record.note(format!("delayed: {head} {body}"));
    server.crash();
    let crashed = Instant::now();
    thread::sleep(Duration::from_millis(200));
    server.start(&format!("i-{chosen}-2"), Duration::ZERO);
    if !deployment.wait_until_served("/get-catalog/1", &KEYS, Duration::from_secs(20)) {
        record.note("the deployment did not start");
        return 2;
    }
    if server.lock().holds.is_empty() {
        record.note("the server was granted no keys after its restart");
        return 2;
    }
    // Until its keys have been renewed.
    thread::sleep(Duration::from_millis(1_000));
    wait_for_beat(&server);

    let watched = watch::start(&servers, &record, Duration::from_secs(8));
    let clients = watch::start_clients(deployment, Duration::from_secs(6));
    if trouble {
        deployment.machines[chosen].kill();
        thread::sleep(Duration::from_millis(100));
        deployment.machines[chosen].start();
        // The delayed heartbeat arrives as soon as the port is open.
        let start = Instant::now();
        let mut delivered = None;
        while delivered.is_none() && start.elapsed() < Duration::from_millis(600) {
            delivered = server.deliver(&head, &body);
            thread::sleep(Duration::from_millis(2));
        }
        record.note(format!(
            "the delayed heartbeat arrives {} ms after its sender crashed: {delivered:?}",
            crashed.elapsed().as_millis()
        ));
    }
    for client in clients {
        client.join().ok();
    }
    let overlap = watched.join().expect("the watch");
    watch::judge(deployment, &overlap)
}
