//! A server is granted keys on which another is still at work: a second answer to a grant is taken for the
//! answer to the release.

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
use crate::server::AT_WORK;
use crate::server::Copied;
use crate::server::KEYS;
use crate::server::SecondAnswers;
use crate::server::Server;

/// The share of the faulty server's answers that come twice, and for how long it does that.
const SECOND_PER_CENT: usize = 3;
const SECOND_TIME: Duration = Duration::from_millis(5_000);
/// How long the fault lasts before the server leaves.
const LEAVE_AFTER: Duration = Duration::from_millis(3_000);
/// The host with the faulty server.
const FAULTY: usize = 0;
const START_TIMEOUT: Duration = Duration::from_secs(25);
const CALM_TIME: Duration = Duration::from_secs(6);
const CLIENTS: usize = 32;
const CLIENT_PAUSE: Duration = Duration::from_millis(20);

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let layout = Layout {
        services: vec!["keyed", "keyed", "keyed", "keyed", "keyed"],
        heartbeat: Duration::from_millis(870),
        slots: 12,
        work: Duration::from_millis(100),
        long_work: Duration::from_millis(1_000),
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
    let server = &servers[FAULTY];
    if trouble {
        record.line(format!(
            "{} gives up to {SECOND_PER_CENT} in 100 of its answers twice",
            server.plan.id
        ));
        server.set_second_answers(Some(SecondAnswers {
            per_cent: SECOND_PER_CENT,
            of: Copied::Grants,
        }));
    }
    thread::sleep(LEAVE_AFTER);
    record.line(format!(
        "{} says in its heartbeats that it is leaving",
        server.plan.id
    ));
    server.drain();
    thread::sleep(SECOND_TIME - LEAVE_AFTER);
    let given = server.given();
    server.set_second_answers(None);
    record.line(format!(
        "it gave {} answers in that time, {} of them twice",
        given.answers, given.second
    ));
    thread::sleep(Duration::from_secs(3));
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().ok();
    }
    let served = served.load(Ordering::Relaxed);
    record.line(format!(
        "{served} requests of clients were answered with success"
    ));
    if served == 0 {
        return Verdict::NotRun("no request was served".to_owned());
    }
    let found = AT_WORK.lock().unwrap();
    for text in found.iter() {
        record.line(format!("BROKEN: {text}"));
    }
    match found.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
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
