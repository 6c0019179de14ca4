//! A late heartbeat of a server's earlier life reaches a process that has just started.
//!
//! One machine's server crashes and starts again, and is granted keys. Its last heartbeat before the crash is still on
//! its way. The process beside it is killed and starts again, and the late heartbeat is the first that it gets. The
//! leader takes the report of the earlier life as proof that the present one has ended and grants its keys elsewhere.

use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::Client;
use crate::deployment::Deployment;
use crate::record::Record;
use crate::server::{Grants, Server};

/// The bound of the rule: two servers may not hold the same keys for longer.
const MAX_OVERLAP: Duration = Duration::from_millis(500);
/// How long a process that was killed is away.
const RESTART_DELAY: Duration = Duration::from_millis(100);
const KEY_STEP: u32 = 64;

pub fn play(record: &Path, trouble: bool) -> Verdict {
    let mut world = Deployment::start(4, Some(Grants::Heartbeat), Duration::from_millis(60));
    let verdict = if world.wait_leader() { run(&mut world, trouble) } else { Verdict::NotRun };
    world.finish();
    world.write_record(record);
    verdict
}

fn run(world: &mut Deployment, trouble: bool) -> Verdict {
    let leader = world.leader();
    let machine = (0..world.nodes.len()).find(|index| *index != leader).unwrap();
    let names = (&world.nodes[machine].name, &world.nodes[leader].name);
    world.record.note(format!("machine {} is chosen, {} leads", names.0, names.1));
    world.start_servers();
    let first_life = world.servers[machine].clone();
    let mut second_life = None;
    let mut late = None;
    if trouble {
        // The last heartbeat that the first life writes will be late.
        thread::sleep(Duration::from_millis(1_200));
        first_life.stop_heartbeats();
        late = Some(first_life.next_heartbeat());
        first_life.note("writes a heartbeat that is held up");
        first_life.crash();
        thread::sleep(Duration::from_millis(300));
        let plan = world.plans[machine].clone();
        let server = Server::start(&format!("i-{machine}b"), plan, Duration::ZERO, &world.record);
        world.servers[machine] = server.clone();
        second_life = Some(server);
    }
    if !world.wait_serving() {
        world.record.note("the machines do not serve");
        return Verdict::NotRun;
    }
    world.record.note("all machines serve");
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
    thread::sleep(Duration::from_millis(500));
    let (Some(second_life), Some(late)) = (second_life, late) else {
        return watch(world, Duration::from_secs(8), || ());
    };
    // Right after an acknowledged heartbeat of the second life, so that its next one is 0.87 s away.
    let acknowledged = second_life.acknowledged();
    while second_life.acknowledged() == acknowledged {
        thread::sleep(Duration::from_millis(2));
    }
    world.nodes[machine].kill();
    thread::sleep(RESTART_DELAY);
    world.nodes[machine].start();
    watch(world, Duration::from_secs(7), move || {
        let until = Instant::now() + Duration::from_secs(2);
        while Instant::now() < until && first_life.deliver_late(&late).is_none() {
            thread::sleep(Duration::from_millis(5));
        }
    })
}

/// Looks for keys that two servers hold, while `trouble` runs beside.
fn watch<T>(world: &Deployment, time: Duration, trouble: T) -> Verdict
where
    T: FnOnce() + Send + 'static,
{
    let (servers, record) = (world.servers.clone(), world.record.clone());
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = Arc::clone(&stop);
    let watching = thread::spawn(move || longest_overlap(&servers, &record, &stopped));
    let beside = thread::spawn(trouble);
    thread::sleep(time);
    stop.store(true, Ordering::Relaxed);
    beside.join().unwrap();
    let longest = watching.join().unwrap();
    world.record.note(format!("the same keys were held by two servers for {} ms at most", longest.as_millis()));
    match longest > MAX_OVERLAP {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

fn longest_overlap(servers: &[Server], record: &Record, stop: &AtomicBool) -> Duration {
    let mut since: HashMap<(usize, usize, u32), Instant> = HashMap::new();
    let mut longest = Duration::ZERO;
    let mut noted = false;
    while !stop.load(Ordering::Relaxed) {
        let now = Instant::now();
        let held: Vec<Vec<_>> = servers.iter().map(Server::holds).collect();
        for one in 0..servers.len() {
            for other in one + 1..servers.len() {
                for key in (0..65_536).step_by(KEY_STEP as usize) {
                    let holds = |index: usize| held[index].iter().any(|row| (u32::from(row.0)..=u32::from(row.1)).contains(&key));
                    if holds(one) && holds(other) {
                        let begun = *since.entry((one, other, key)).or_insert(now);
                        longest = longest.max(now - begun);
                        if !noted && now - begun > MAX_OVERLAP {
                            noted = true;
                            record.note(format!(
                                "OWNER broken: {} holds {:?} and {} holds {:?}, both up; key {key} for over 500 ms",
                                servers[one].id, held[one], servers[other].id, held[other]
                            ));
                        }
                    } else {
                        since.remove(&(one, other, key));
                    }
                }
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    longest
}
