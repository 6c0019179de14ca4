//! The next life of a server takes keys with the fence of the life before: a machine loses power, and a
//! heartbeat that its server sent before arrives late at the new process of the node.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client::ClientRequest;
use crate::client::send;
use crate::deployment::Deployment;
use crate::deployment::Layout;
use crate::deployment::config;
use crate::deployment::route;
use crate::deployment::service;
use crate::record::Record;
use crate::server::KEYS;
use crate::server::STALE;
use crate::server::Server;

/// The hosts that lose power one after the other, each the only one of its zone.
const HOSTS: [usize; 3] = [1, 2, 0];
/// The time from one loss of power to the next.
const PAUSE: Duration = Duration::from_secs(8);
/// How late the last heartbeat of the first life arrives.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(1_250);
/// The time from that heartbeat to the loss of power.
const POWER_OFF_AFTER: Duration = Duration::from_millis(150);
/// The time from the loss of power to the start of the server, and from there to that of the process.
const SERVER_DOWN: Duration = Duration::from_millis(400);
const NODE_LATER: Duration = Duration::from_millis(250);
const START_TIMEOUT: Duration = Duration::from_secs(25);
const CALM_TIME: Duration = Duration::from_secs(6);
const CLIENTS: usize = 16;
const CLIENT_PAUSE: Duration = Duration::from_millis(30);

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let layout = Layout {
        services: vec!["keyed", "keyed", "keyed"],
        heartbeat: Duration::from_millis(870),
        slots: 12,
        work: Duration::from_millis(50),
        long_work: Duration::from_millis(50),
        by_call: true,
        config: config(&[
            route("price", "idempotent", "keyed", "1500ms"),
            service("keyed"),
        ]),
    };
    let mut deployment = match Deployment::start(&layout, record) {
        Ok(deployment) => deployment,
        Err(error) => return Verdict::NotRun(format!("it did not start: {error}")),
    };
    if let Err(why) = deployment.wait_ready(START_TIMEOUT) {
        return Verdict::NotRun(why);
    }
    let servers: Vec<Server> = deployment
        .hosts
        .iter()
        .map(|host| host.server.clone())
        .collect();
    if !wait_held(&servers) {
        return Verdict::NotRun("not all keys were granted".to_owned());
    }
    record.line("every key has one holder; traffic begins".to_owned());
    let ended = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let clients = start_clients(&deployment, &ended, &served);
    thread::sleep(CALM_TIME);
    let mut lost = Ok(());
    for host in HOSTS {
        lost = lost.and(lose_power(&mut deployment, host, trouble, record));
        thread::sleep(PAUSE);
        if !STALE.lock().unwrap().is_empty() {
            break;
        }
    }
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().ok();
    }
    if let Err(error) = lost {
        return Verdict::NotRun(format!("the host did not start again: {error}"));
    }
    let served = served.load(Ordering::Relaxed);
    record.line(format!(
        "{served} requests of clients were answered with success"
    ));
    if served == 0 {
        return Verdict::NotRun("no request was served".to_owned());
    }
    let found = STALE.lock().unwrap();
    for text in found.iter() {
        record.line(format!("BROKEN: {text}"));
    }
    match found.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}

/// Cuts the power of a host after a heartbeat of its server was held up on its way. Without `trouble` that
/// heartbeat is late all the same.
fn lose_power(
    deployment: &mut Deployment,
    host: usize,
    trouble: bool,
    record: &Arc<Record>,
) -> std::io::Result<()> {
    let server = deployment.hosts[host].server.clone();
    let late = server.take_heartbeat();
    let held_up = {
        let record = Arc::clone(record);
        thread::spawn(move || {
            thread::sleep(HEARTBEAT_DELAY);
            let status = late.send().map_or(0, |answer| answer.status());
            record.line(format!(
                "heartbeat {} of the first life arrives late and is answered {status}",
                late.sequence
            ));
        })
    };
    thread::sleep(POWER_OFF_AFTER);
    if trouble {
        deployment.hosts[host].node.kill();
        server.exit();
        record.line(format!("the host of {} loses power", server.plan.id));
        thread::sleep(SERVER_DOWN);
        let next = Server::start(server.plan.clone(), &deployment.runs, record)?;
        record.line(format!(
            "{} starts again, born {}; before {}",
            next.plan.id, next.born, server.born
        ));
        deployment.hosts[host].server = next;
        thread::sleep(NODE_LATER);
        deployment.restart(host, record)?;
    }
    held_up.join().ok();
    Ok(())
}

fn wait_held(servers: &[Server]) -> bool {
    let until = Instant::now() + START_TIMEOUT;
    while Instant::now() < until {
        let held = |key| servers.iter().any(|server| server.holds(key).is_some());
        if (0..KEYS).step_by(64).all(held) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

fn start_clients(
    deployment: &Deployment,
    ended: &Arc<AtomicBool>,
    served: &Arc<AtomicU64>,
) -> Vec<thread::JoinHandle<()>> {
    let clients = (0..CLIENTS).map(|number| {
        let outbound = deployment.hosts[number % deployment.hosts.len()].outbound;
        let (ended, served) = (Arc::clone(ended), Arc::clone(served));
        thread::spawn(move || {
            let mut key = number * 7_919;
            let mut count = 0;
            while !ended.load(Ordering::Relaxed) && count < 4_000 {
                count += 1;
                key = (key + 12_289) % KEYS;
                let id = format!("c{number}-{count}");
                let request = ClientRequest {
                    method: "GET",
                    path: "/price/1",
                    id: &id,
                    key: Some(key as u16),
                    deadline: Duration::from_millis(1_500),
                };
                let status = send(outbound, &request);
                served.fetch_add(u64::from(status == 200), Ordering::Relaxed);
                thread::sleep(CLIENT_PAUSE);
            }
        })
    });
    clients.collect()
}
