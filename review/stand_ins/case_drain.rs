//! A node that was restarted sends work to a server that had left, and the work is lost with the server.

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

/// The bounds `drain` and `stable_window` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// How late the heartbeat that the server sends before it leaves arrives.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(2_500);
/// The time from that heartbeat to the call with which the server leaves.
const LEAVE_AFTER: Duration = Duration::from_millis(400);
/// The time from the acknowledgement to the end of the node's process, and how long that is away.
const KILL_AFTER: Duration = Duration::from_millis(500);
const DOWN_TIME: Duration = Duration::from_millis(500);
/// How long the server goes on serving after its leaving was acknowledged.
const STAY: Duration = Duration::from_millis(9_000);
/// The host whose server leaves. Clients are at all hosts.
const LEAVING: usize = 0;
const START_TIMEOUT: Duration = Duration::from_secs(20);
const CLIENTS: usize = 32;
const CLIENT_PAUSE: Duration = Duration::from_millis(40);
const DEADLINE: Duration = Duration::from_millis(2_000);

type Answers = Arc<Mutex<HashMap<String, u16>>>;

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let layout = Layout {
        services: vec!["orders", "orders", "orders", "front"],
        heartbeat: Duration::from_millis(870),
        slots: 18,
        work: Duration::from_millis(160),
        long_work: Duration::from_millis(160),
        by_call: false,
        config: config(&[
            route("order", "non_idempotent", "orders", "2000ms"),
            service("orders"),
            service("front"),
        ]),
    };
    let mut deployment = match Deployment::start(&layout, record) {
        Ok(deployment) => deployment,
        Err(error) => return Verdict::NotRun(format!("it did not start: {error}")),
    };
    if let Err(why) = deployment.wait_ready(START_TIMEOUT) {
        return Verdict::NotRun(why);
    }
    let ended = Arc::new(AtomicBool::new(false));
    let answers: Answers = Arc::default();
    let clients = start_clients(&deployment, &ended, &answers);
    thread::sleep(Duration::from_secs(8));
    let times = leave(&mut deployment, trouble, record);
    thread::sleep(Duration::from_secs(3));
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().ok();
    }
    match times {
        Ok(times) => judge(&deployment, &answers, &times, record),
        Err(why) => Verdict::NotRun(why),
    }
}

struct Times {
    acknowledged: Instant,
    /// From when on every machine has been in touch.
    in_touch: Instant,
    exited: Instant,
}

/// Lets a server leave; with `trouble` the process beside it is killed right after it has acknowledged that.
fn leave(
    deployment: &mut Deployment,
    trouble: bool,
    record: &Arc<Record>,
) -> Result<Times, String> {
    let server = deployment.hosts[LEAVING].server.clone();
    server.stop_heartbeats();
    let late = server.take_heartbeat();
    let sent = Instant::now();
    record.line(format!(
        "{} sends heartbeat {}, which is held up on its way",
        late.id, late.sequence
    ));
    let held_up = {
        let record = Arc::clone(record);
        thread::spawn(move || {
            thread::sleep(HEARTBEAT_DELAY);
            let status = late.send().map_or(0, |answer| answer.status());
            record.line(format!(
                "heartbeat {} of {} arrives {} ms late and is answered {status}",
                late.sequence,
                late.id,
                sent.elapsed().as_millis()
            ));
        })
    };
    thread::sleep(LEAVE_AFTER);
    if !server.leave() {
        return Err("the server's leaving was not acknowledged".to_owned());
    }
    let acknowledged = Instant::now();
    record.line(format!(
        "{} says that it leaves, and that is acknowledged",
        server.plan.id
    ));
    let mut in_touch = acknowledged;
    if trouble {
        thread::sleep(KILL_AFTER);
        deployment.hosts[LEAVING].node.kill();
        record.line(format!("the node beside {} is killed", server.plan.id));
        thread::sleep(DOWN_TIME);
        deployment
            .restart(LEAVING, record)
            .map_err(|error| error.to_string())?;
        in_touch = Instant::now() + STABLE_WINDOW;
        record.line("it starts again".to_owned());
    }
    thread::sleep((acknowledged + STAY).saturating_duration_since(Instant::now()));
    server.exit();
    let exited = Instant::now();
    record.line(format!("{} exits", server.plan.id));
    held_up.join().ok();
    Ok(Times {
        acknowledged,
        in_touch,
        exited,
    })
}

fn judge(deployment: &Deployment, answers: &Answers, times: &Times, record: &Record) -> Verdict {
    let answers = answers.lock().unwrap();
    let count = |status: u16| answers.values().filter(|known| **known == status).count();
    record.line(format!(
        "{} requests of clients: {} answered 200, {} 503, {} 502, {} 504, {} cut off",
        answers.len(),
        count(200),
        count(503),
        count(502),
        count(504),
        count(0)
    ));
    if count(200) == 0 {
        return Verdict::NotRun("no request was served".to_owned());
    }
    let from = (times.acknowledged + DRAIN).max(times.in_touch);
    let id = &deployment.hosts[LEAVING].server.plan.id;
    let runs = deployment.runs.lock().unwrap();
    let late: Vec<_> = runs
        .iter()
        .filter(|run| run.server == *id && run.begun > from)
        .collect();
    for run in late.iter().take(5) {
        record.line(format!(
            "BROKEN: {} reached {id} {} ms after its leaving was acknowledged",
            run.id,
            (run.begun - times.acknowledged).as_millis()
        ));
    }
    let lost: Vec<_> = late
        .iter()
        .filter(|run| !run.answered && run.begun <= times.exited)
        .collect();
    for run in &lost {
        let status = answers.get(&run.id).copied().unwrap_or(0);
        record.line(format!(
            "{} was at work there when {id} exited; its client got {status}",
            run.id
        ));
    }
    record.line(format!(
        "requests that reached {id} later than allowed: {}; of these lost with it: {}",
        late.len(),
        lost.len()
    ));
    match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}

fn start_clients(
    deployment: &Deployment,
    ended: &Arc<AtomicBool>,
    answers: &Answers,
) -> Vec<thread::JoinHandle<()>> {
    let clients = (0..CLIENTS).map(|number| {
        let outbound = deployment.hosts[number % deployment.hosts.len()].outbound;
        let (ended, answers) = (Arc::clone(ended), Arc::clone(answers));
        thread::spawn(move || {
            let mut count = 0;
            while !ended.load(Ordering::Relaxed) && count < 2_000 {
                count += 1;
                let id = format!("c{number}-{count}");
                let request = ClientRequest {
                    method: "POST",
                    path: "/order/1",
                    id: &id,
                    key: None,
                    deadline: DEADLINE,
                };
                let status = send(outbound, &request);
                // A client at a machine whose process is down comes back a little later.
                if status == 0 {
                    thread::sleep(CLIENT_PAUSE * 5);
                }
                answers.lock().unwrap().insert(id, status);
                thread::sleep(CLIENT_PAUSE);
            }
        })
    });
    clients.collect()
}
