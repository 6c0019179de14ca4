//! The store falls silent as the nodes claim the leadership after a kill of all processes.
//!
//! Each node that looks for a leader sends one claim. None is carried out and none is answered. A node whose claim got
//! no answer sends no other one until it reads a record as late as its claim, and nobody is left to write one.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Client, Sent};
use crate::deployment::{Deployment, wait_until};
use crate::server::Grants;

/// How long the store is silent.
const OUTAGE: Duration = Duration::from_millis(4_500);
/// After how long the first processes start again, and how much later that of the leader does.
const RESTART_DELAY: Duration = Duration::from_millis(300);
const LEADER_DELAY: Duration = Duration::from_millis(1_200);
/// The bound of the rule, and for how long requests are counted after it.
const RECOVERY: Duration = Duration::from_secs(15);
const COUNTED: Duration = Duration::from_secs(8);
/// How long after the store's return a deployment that recovers may take until the next round begins.
const CALM: Duration = Duration::from_secs(8);
/// Whether all claims fall into the outage depends on the nodes' random delays.
const ROUNDS: usize = 4;
/// No round begins later: one that breaks the rule takes 42 s at most, and a script may take 120 s.
const LAST_ROUND: Duration = Duration::from_secs(70);

pub fn play(record: &Path, trouble: bool) -> Verdict {
    let begun = Instant::now();
    let mut world = Deployment::start(3, Some(Grants::Heartbeat), Duration::from_millis(60));
    world.start_servers();
    let verdict = if world.wait_serving() { run(&mut world, trouble, begun) } else { Verdict::NotRun };
    world.finish();
    world.write_record(record);
    verdict
}

fn run(world: &mut Deployment, trouble: bool, begun: Instant) -> Verdict {
    let clients: Vec<Client> = (0..world.nodes.len()).map(|machine| Client {
        machine,
        address: world.nodes[machine].clients,
        method: "GET",
        path: "/browse/1",
        keyed: true,
        sent: Arc::default(),
        numbers: Arc::default(),
        record: world.record.clone(),
    }).collect();
    world.send_requests(&clients, Duration::from_millis(100));
    for round in 1..=ROUNDS {
        if begun.elapsed() > LAST_ROUND {
            world.record.note("no time for another round");
            break;
        }
        thread::sleep(Duration::from_secs(3));
        let (served, sent) = count(&clients, Instant::now() - Duration::from_millis(2_500));
        world.record.note(format!("round {round}: {served} of {sent} requests are served before the fault"));
        if served * 4 < sent || sent == 0 {
            return Verdict::NotRun;
        }
        let Some(back) = kill_all(world, trouble) else {
            return Verdict::NotRun;
        };
        let calm = || {
            let (served, sent) = count(&clients, Instant::now() - Duration::from_secs(2));
            sent > 0 && served * 5 > sent * 4
        };
        thread::sleep((back + Duration::from_secs(2)).saturating_duration_since(Instant::now()));
        if wait_until(CALM, calm) {
            world.record.note("nearly all requests are served again");
            if trouble {
                continue;
            }
            return Verdict::Held;
        }
        let from = back + RECOVERY;
        thread::sleep((from + COUNTED).saturating_duration_since(Instant::now()));
        let (served, sent) = count(&clients, from);
        world.record.note(format!(
            "later than {} s after all machines and the store are back {served} of {sent} requests are served",
            RECOVERY.as_secs()
        ));
        if served * 4 < sent {
            return Verdict::Broken;
        }
    }
    Verdict::Held
}

/// Kills all processes and starts them again, and lets the store fall silent meanwhile; returns when all are back.
fn kill_all(world: &mut Deployment, trouble: bool) -> Option<Instant> {
    let leader = world.leader();
    if trouble {
        world.store.fall_silent_at_append(OUTAGE);
    }
    for node in &mut world.nodes {
        node.kill();
    }
    thread::sleep(RESTART_DELAY);
    for (index, node) in world.nodes.iter_mut().enumerate() {
        if index != leader {
            node.start();
        }
    }
    thread::sleep(LEADER_DELAY);
    world.nodes[leader].start();
    let started = Instant::now();
    if !trouble {
        return Some(started);
    }
    if !wait_until(Duration::from_secs(10), || world.store.back_at().is_some()) {
        world.record.note("nobody claimed the leadership");
        return None;
    }
    let back = world.store.back_at()?;
    let left = back.saturating_duration_since(Instant::now());
    world.record.note(format!("the store is silent, for {} ms more", left.as_millis()));
    thread::sleep(left);
    world.record.note("the store is back");
    Some(back.max(started))
}

/// Returns how many requests sent since a moment are served, and how many were sent.
fn count(clients: &[Client], since: Instant) -> (usize, usize) {
    let sent: Vec<Sent> = clients.iter().flat_map(|client| client.sent.lock().unwrap().clone()).collect();
    let counted = sent.iter().filter(|sent| sent.at >= since);
    counted.fold((0, 0), |(served, all), sent| (served + usize::from(sent.status == Some(200)), all + 1))
}
