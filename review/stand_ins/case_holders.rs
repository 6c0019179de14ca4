//! Two servers hold the same keys after one heartbeat of another writer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::Verdict;
use crate::client::ClientRequest;
use crate::client::send;
use crate::deployment::Deployment;
use crate::deployment::Layout;
use crate::deployment::config;
use crate::deployment::route;
use crate::deployment::service;
use crate::record::Record;
use crate::server::Heartbeat;
use crate::server::KEYS;
use crate::server::Server;

/// The rule: two servers hold the same keys for over half a second.
const MAX_OVERLAP: Duration = Duration::from_millis(500);
/// Every how many keys one is looked at.
pub const KEY_STEP: usize = 64;
const LOOK_INTERVAL: Duration = Duration::from_millis(5);
/// The host that gets the heartbeat.
const HOST: usize = 0;
const START_TIMEOUT: Duration = Duration::from_secs(25);
const CALM_TIME: Duration = Duration::from_secs(8);
const WATCH_TIME: Duration = Duration::from_secs(12);
const CLIENTS: usize = 24;
const CLIENT_PAUSE: Duration = Duration::from_millis(40);

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let layout = Layout {
        services: vec!["keyed", "keyed", "keyed", "keyed"],
        heartbeat: Duration::from_millis(870),
        slots: 18,
        work: Duration::from_millis(120),
        long_work: Duration::from_millis(120),
        by_call: false,
        config: config(&[
            route("proof", "idempotent", "keyed", "1000ms"),
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
    let counts: Arc<[AtomicU64; 2]> = Arc::default();
    let clients = start_clients(&deployment, &ended, &counts);
    let mut overlaps = Overlaps::default();
    overlaps.watch(&servers, CALM_TIME, record);
    if trouble {
        send_foreign_heartbeat(&servers[HOST], record);
    }
    overlaps.watch(&servers, WATCH_TIME, record);
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().ok();
    }
    let [sent, served] = [&counts[0], &counts[1]].map(|count| count.load(Ordering::Relaxed));
    record.line(format!(
        "{sent} requests of clients, {served} answered with success"
    ));
    if served == 0 {
        return Verdict::NotRun("no request was served".to_owned());
    }
    let both = overlaps.both_begin(&deployment, record);
    record.line(format!(
        "keys held by two servers on which both began requests in that time: {both}"
    ));
    record.line(format!(
        "longest time for which two servers held one key: {} ms; keys held by two for over {} ms: {} of {} looked at",
        overlaps.longest.as_millis(),
        MAX_OVERLAP.as_millis(),
        overlaps.broken,
        KEYS / KEY_STEP
    ));
    match (overlaps.broken, both) {
        (0, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Sends the heartbeat of a writer whose service isn't named anywhere.
fn send_foreign_heartbeat(server: &Server, record: &Record) {
    let born = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap()
        .as_millis();
    let plan = &server.plan;
    let address = format!("{}:8399", plan.listen.ip());
    let body = format!(
        "{{\"service\":\"unnamed-service\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":18,\
         \"state\":\"ready\",\"cold_left\":\"0ms\",\"sequence\":1,\"born\":{born},\"holds\":[],\"freed\":[]}}",
        plan.zone
    );
    record.line(format!(
        "another writer sends one heartbeat to the node beside {}: {body}",
        plan.id
    ));
    let answer = Heartbeat::foreign("w-90210", plan.control, body).send();
    let status = answer.map_or(0, |answer| answer.status());
    record.line(format!("it is answered {status}"));
}

fn wait_held(servers: &[Server]) -> bool {
    let until = Instant::now() + START_TIMEOUT;
    while Instant::now() < until {
        let held = |key| servers.iter().any(|server| server.holds(key).is_some());
        if (0..KEYS).step_by(KEY_STEP).all(held) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

fn start_clients(
    deployment: &Deployment,
    ended: &Arc<AtomicBool>,
    counts: &Arc<[AtomicU64; 2]>,
) -> Vec<thread::JoinHandle<()>> {
    let clients = (0..CLIENTS).map(|number| {
        let outbound = deployment.hosts[number % deployment.hosts.len()].outbound;
        let (ended, counts) = (Arc::clone(ended), Arc::clone(counts));
        thread::spawn(move || {
            let mut key = number * 31 * KEY_STEP;
            let mut count = 0;
            while !ended.load(Ordering::Relaxed) && count < 2_000 {
                count += 1;
                key = (key + 193 * KEY_STEP) % KEYS;
                let id = format!("c{number}-{count}");
                let request = ClientRequest {
                    method: "GET",
                    path: "/proof/1",
                    id: &id,
                    key: Some(key as u16),
                    deadline: Duration::from_millis(1_500),
                };
                let status = send(outbound, &request);
                counts[0].fetch_add(1, Ordering::Relaxed);
                counts[1].fetch_add(u64::from(status == 200), Ordering::Relaxed);
                thread::sleep(CLIENT_PAUSE);
            }
        })
    });
    clients.collect()
}

/// The keys that two servers hold at the same time.
#[derive(Default)]
struct Overlaps {
    /// Since when a key has been held by two servers without a break.
    since: BTreeMap<usize, Instant>,
    longest: Duration,
    broken: usize,
    counted: BTreeMap<usize, ()>,
    /// The spans in which a key was held by two servers.
    spans: Vec<(usize, Instant, Instant)>,
}

impl Overlaps {
    fn watch(&mut self, servers: &[Server], time: Duration, record: &Record) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            for key in (0..KEYS).step_by(KEY_STEP) {
                self.look(servers, key, record);
            }
            thread::sleep(LOOK_INTERVAL);
        }
    }

    fn look(&mut self, servers: &[Server], key: usize, record: &Record) {
        let holders = servers
            .iter()
            .filter_map(|server| Some((server, server.holds(key)?)));
        let holders: Vec<_> = holders.collect();
        let now = Instant::now();
        if holders.len() < 2 {
            let since = self.since.remove(&key);
            self.spans.extend(since.map(|since| (key, since, now)));
            return;
        }
        let since = *self.since.entry(key).or_insert(now);
        let overlap = now - since;
        self.longest = self.longest.max(overlap);
        if overlap > MAX_OVERLAP && self.counted.insert(key, ()).is_none() {
            self.broken += 1;
            if self.broken <= 5 {
                let named = holders.iter().map(|(server, (fence, left))| {
                    format!(
                        "{} with token {fence} for {} ms more",
                        server.plan.id,
                        left.as_millis()
                    )
                });
                let named: Vec<String> = named.collect();
                record.line(format!(
                    "BROKEN: for {} ms key {key} has been held by {}",
                    overlap.as_millis(),
                    named.join(" and by ")
                ));
            }
        }
    }

    /// Returns on how many keys two servers began requests while both held the key.
    fn both_begin(&self, deployment: &Deployment, record: &Record) -> usize {
        let runs = deployment.runs.lock().unwrap();
        let mut keys = 0;
        for (key, since, until) in &self.spans {
            let within = runs.iter().filter(|run| {
                run.key == Some(*key as u16) && run.begun > *since && run.begun < *until
            });
            let within: Vec<_> = within.collect();
            let first = within.first().map(|run| run.server.as_str());
            let Some(other) = within.iter().find(|run| Some(run.server.as_str()) != first) else {
                continue;
            };
            keys += 1;
            record.line(format!(
                "BROKEN: while two servers held key {key}, {} began {} and {} began {}",
                within[0].server, within[0].id, other.server, other.id
            ));
        }
        keys
    }
}
