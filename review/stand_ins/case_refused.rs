//! A request that may run once only is answered 503 although it runs: a server's second copy of a refusal
//! is taken for the answer to the repeat of the request.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
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
use crate::server::Copied;
use crate::server::KEYS;
use crate::server::Run;
use crate::server::SecondAnswers;
use crate::server::Server;

/// The grey server's share of refused requests, and how long it is grey.
const SHED_SHARE: f64 = 0.45;
const GREY_TIME: Duration = Duration::from_millis(6_500);
/// The share of the faulty server's answers that come twice, and for how long it does that.
const SECOND_PER_CENT: usize = 3;
const SECOND_TIME: Duration = Duration::from_millis(5_000);
/// The time from one disruption to the next.
const PAUSE: Duration = Duration::from_millis(7_500);
/// How often the disruption comes.
const ROUNDS: usize = 7;
/// The host with the faulty server.
const FAULTY: usize = 0;
/// The host at which the clients are; its own server has no part.
const FRONT: usize = 5;
const START_TIMEOUT: Duration = Duration::from_secs(20);
const CLIENTS: usize = 40;
const CLIENT_PAUSE: Duration = Duration::from_millis(60);
const DEADLINE: Duration = Duration::from_millis(1_000);

type Answers = Arc<Mutex<HashMap<String, u16>>>;

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let layout = Layout {
        services: vec!["keyed", "keyed", "keyed", "keyed", "keyed", "plain"],
        heartbeat: Duration::from_millis(870),
        slots: 12,
        work: Duration::from_millis(48),
        long_work: Duration::from_millis(48),
        by_call: true,
        config: config(&[
            route("credit", "non_idempotent", "keyed", "1000ms"),
            service("keyed"),
            service("plain"),
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
    let answers: Answers = Arc::default();
    let clients = start_clients(&deployment, &ended, &answers);
    thread::sleep(Duration::from_secs(4));
    for round in 1..=ROUNDS {
        disrupt(&servers[FAULTY], trouble, round, record);
        thread::sleep(PAUSE);
        if !find_broken(&deployment, &answers).is_empty() {
            break;
        }
    }
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().ok();
    }
    judge(&deployment, &answers, record)
}

/// Makes one server grey and faulty for some seconds.
fn disrupt(server: &Server, trouble: bool, round: usize, record: &Record) {
    if !trouble {
        thread::sleep(GREY_TIME);
        return;
    }
    record.line(format!(
        "round {round}: {} refuses {SHED_SHARE} of its requests for {} ms; for {} ms of these up to \
         {SECOND_PER_CENT} in 100 of its answers come a second time",
        server.plan.id,
        GREY_TIME.as_millis(),
        SECOND_TIME.as_millis()
    ));
    server.set_shed(SHED_SHARE);
    server.set_second_answers(Some(SecondAnswers {
        per_cent: SECOND_PER_CENT,
        of: Copied::Refusals,
    }));
    thread::sleep(SECOND_TIME);
    let given = server.given();
    server.set_second_answers(None);
    thread::sleep(GREY_TIME - SECOND_TIME);
    server.set_shed(0.0);
    record.line(format!(
        "round {round}: in these {} ms {} gave {} answers, {} of them refusals, {} of these twice",
        SECOND_TIME.as_millis(),
        server.plan.id,
        given.answers,
        given.refusals,
        given.second
    ));
}

/// Returns the requests that were answered as not run, and their runs.
fn find_broken(deployment: &Deployment, answers: &Answers) -> Vec<(String, u16, Vec<Run>)> {
    let runs = deployment.runs.lock().unwrap().clone();
    let mut by_id: HashMap<&str, Vec<Run>> = HashMap::new();
    for run in &runs {
        by_id.entry(&run.id).or_default().push(run.clone());
    }
    let answers = answers.lock().unwrap();
    let refused = answers
        .iter()
        .filter(|(_, status)| matches!(status, 408 | 421 | 429 | 503));
    let broken =
        refused.filter_map(|(id, status)| Some((id.clone(), *status, by_id.remove(id.as_str())?)));
    broken.collect()
}

fn judge(deployment: &Deployment, answers: &Answers, record: &Record) -> Verdict {
    let broken = find_broken(deployment, answers);
    let answered = answers.lock().unwrap().clone();
    let count = |status: u16| answered.values().filter(|known| **known == status).count();
    record.line(format!(
        "{} requests of clients: {} answered 200, {} 503, {} 502, {} 504, {} cut off",
        answered.len(),
        count(200),
        count(503),
        count(502),
        count(504),
        count(0)
    ));
    if count(200) == 0 {
        return Verdict::NotRun("no request was served".to_owned());
    }
    let mut runs: HashMap<String, usize> = HashMap::new();
    for run in deployment.runs.lock().unwrap().iter() {
        *runs.entry(run.id.clone()).or_default() += 1;
    }
    let twice: Vec<&String> = runs
        .iter()
        .filter(|(_, count)| **count > 1)
        .map(|(id, _)| id)
        .collect();
    record.line(format!("requests that ran more than once: {}", twice.len()));
    for (id, status, runs) in &broken {
        for run in runs {
            record.line(format!(
                "BROKEN: {id} was answered {status}, which says that it has not run and never will; \
                 {} has run it{}",
                run.server,
                if run.answered { " to its end" } else { "" }
            ));
        }
    }
    match broken.is_empty() && twice.is_empty() {
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
    answers: &Answers,
) -> Vec<thread::JoinHandle<()>> {
    let outbound = deployment.hosts[FRONT].outbound;
    let clients = (0..CLIENTS).map(|number| {
        let (ended, answers) = (Arc::clone(ended), Arc::clone(answers));
        thread::spawn(move || {
            let mut key = number * 7_919;
            let mut count = 0;
            while !ended.load(Ordering::Relaxed) && count < 2_000 {
                count += 1;
                key = (key + 12_289) % KEYS;
                let id = format!("c{number}-{count}");
                let request = ClientRequest {
                    method: "DELETE",
                    path: "/credit/1",
                    id: &id,
                    key: Some(key as u16),
                    deadline: DEADLINE,
                };
                let status = send(outbound, &request);
                answers.lock().unwrap().insert(id, status);
                thread::sleep(CLIENT_PAUSE);
            }
        })
    });
    clients.collect()
}
