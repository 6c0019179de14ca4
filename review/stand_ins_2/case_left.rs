//! A server leaves: it says so with DELETE, is acknowledged, and serves on for some seconds. All processes are
//! killed and started again. Then a heartbeat arrives that the server sent before it left.
//!
//! Departures are kept in the memory of the processes alone. The node takes the server for a usual one and sends
//! it requests for as long as its port is open.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::deployment::Deployment;
use crate::deployment::request;

/// The bound of the rule.
const DRAIN: Duration = Duration::from_secs(2);
/// How long a machine must have run to be in touch.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// How long the processes are down.
const DOWN: Duration = Duration::from_millis(500);
/// How long the server serves on after its acknowledgement: `drain` and many seconds.
const SERVES_ON: Duration = Duration::from_secs(10);

pub fn run(folder: &Path, trouble: bool) -> i32 {
    let services = [("catalog", false), ("catalog", false), ("catalog", false)];
    let mut deployment = Deployment::start(&services, Duration::from_millis(20));
    let code = play(&mut deployment, trouble);
    deployment.finish(folder);
    code
}

fn play(deployment: &mut Deployment, trouble: bool) -> i32 {
    let record = Arc::clone(&deployment.record);
    if !deployment.wait_until_served("/get-catalog/1", &[1], Duration::from_secs(20)) {
        record.note("the deployment did not start");
        return 2;
    }
    thread::sleep(Duration::from_secs(3));
    let clients: Vec<_> = deployment
        .machines
        .iter()
        .enumerate()
        .map(|(index, machine)| {
            let (ip, record) = (machine.ip.clone(), Arc::clone(&record));
            thread::spawn(move || {
                let start = Instant::now();
                let mut sent = 0;
                while start.elapsed() < Duration::from_secs(14) {
                    let id = format!("c{index}-{sent}");
                    request(&ip, &record, "GET", "/get-catalog/1", &id, None, 1_500);
                    sent += 1;
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));

    let server = deployment.machines[1].server.clone();
    let (head, body, ..) = server.compose_beat();
    record.note(format!("delayed: {head} {body}"));
    let composed = Instant::now();
    let Some(acknowledged) = server.leave() else {
        record.note("the server's leaving was not acknowledged");
        return 2;
    };
    let mut back = acknowledged;
    if trouble {
        thread::sleep(Duration::from_millis(500));
        for machine in &mut deployment.machines {
            machine.kill();
        }
        thread::sleep(DOWN);
        for machine in &mut deployment.machines {
            machine.start();
        }
        back = Instant::now();
        let mut delivered = None;
        while delivered.is_none() && back.elapsed() < Duration::from_secs(2) {
            delivered = server.deliver(&head, &body);
            thread::sleep(Duration::from_millis(5));
        }
        record.note(format!(
            "the heartbeat arrives {} ms after it was sent: {delivered:?}",
            composed.elapsed().as_millis()
        ));
    }
    thread::sleep(SERVES_ON.saturating_sub(acknowledged.elapsed()));
    server.crash();
    for client in clients {
        client.join().ok();
    }
    // A request counts once all machines have been in touch for a while.
    let counted_from = (acknowledged + DRAIN).max(back + STABLE_WINDOW + Duration::from_millis(500));
    let late: Vec<(String, Duration)> = server
        .lock()
        .begun
        .iter()
        .filter(|(_, at, _)| *at > counted_from)
        .map(|(id, at, _)| (id.clone(), *at - acknowledged))
        .collect();
    for (id, after) in &late {
        record.add(format!("{id} reached the server {} ms after the acknowledgement", after.as_millis()));
    }
    record.note(format!(
        "{} requests reached the server later than {} ms after its leaving was acknowledged, the last after {} ms; {} ms are allowed",
        late.len(),
        (counted_from - acknowledged).as_millis(),
        late.last().map_or(0, |(_, after)| after.as_millis()),
        DRAIN.as_millis()
    ));
    record.note(if late.is_empty() { "DRAIN holds" } else { "DRAIN is broken" });
    i32::from(!late.is_empty())
}
