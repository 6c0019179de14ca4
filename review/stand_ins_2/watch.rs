//! Watches which servers hold which keys.

use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::deployment::Deployment;
use crate::record::Record;
use crate::server::Server;

/// How long two servers that are up may hold the same keys.
pub const MAX_OVERLAP: Duration = Duration::from_millis(500);
/// The keys that are watched: each sixteenth.
const STEP: usize = 16;
/// The keys of the clients' requests.
pub const KEYS: [u16; 6] = [5, 12_000, 24_000, 36_000, 48_000, 65_000];

/// The longest time for which two servers held one key, the key and the servers.
pub type Overlap = (Duration, usize, String);

/// Starts to watch.
pub fn start(servers: &[Server], record: &Arc<Record>, span: Duration) -> JoinHandle<Overlap> {
    let (servers, record) = (servers.to_vec(), Arc::clone(record));
    thread::spawn(move || watch_holders(&servers, &record, span))
}

/// Starts clients on all machines that send a request each 20 ms.
pub fn start_clients(deployment: &Deployment, span: Duration) -> Vec<JoinHandle<()>> {
    let machines = deployment.machines.iter().enumerate();
    let clients = machines.map(|(index, machine)| {
        let (ip, record) = (machine.ip.clone(), Arc::clone(&deployment.record));
        thread::spawn(move || {
            let start = Instant::now();
            let mut sent = 0;
            while start.elapsed() < span {
                let (key, id) = (KEYS[sent % KEYS.len()], format!("c{index}-{sent}"));
                let path = "/get-catalog/1";
                crate::deployment::request(&ip, &record, "GET", path, &id, Some(key), 1_500);
                sent += 1;
                thread::sleep(Duration::from_millis(20));
            }
        })
    });
    clients.collect()
}

/// Notes what was seen and returns the exit code.
pub fn judge(deployment: &Deployment, (overlap, key, both): &Overlap) -> i32 {
    let record = &deployment.record;
    for machine in &deployment.machines {
        for event in ["leads", "server_life", "keys_granted", "keys_assigned"] {
            for line in machine.log_lines(event) {
                record.add(format!("log of {}: {line}", machine.node_name));
            }
        }
    }
    record.note(format!(
        "two servers that are up held the same keys for {} ms (key {key}: {both}); {} ms are allowed",
        overlap.as_millis(),
        MAX_OVERLAP.as_millis()
    ));
    let is_broken = *overlap > MAX_OVERLAP;
    record.note(if is_broken { "OWNER is broken" } else { "OWNER holds" });
    i32::from(is_broken)
}

/// Waits until the server has just been answered to a heartbeat.
pub fn wait_for_beat(server: &Server) {
    let last = server.lock().beat_sent;
    while server.lock().beat_sent == last {
        thread::sleep(Duration::from_millis(1));
    }
    thread::sleep(Duration::from_millis(40));
}

/// Returns for how long at most two servers have held the same key without a pause, and which.
fn watch_holders(
    servers: &[Server],
    record: &Record,
    span: Duration,
) -> Overlap {
    let start = Instant::now();
    let mut since: Vec<Option<Instant>> = vec![None; 65_536 / STEP];
    let mut longest = (Duration::ZERO, 0, String::new());
    let mut reported = false;
    while start.elapsed() < span {
        let now = Instant::now();
        let mut holders: Vec<Vec<usize>> = vec![Vec::new(); 65_536 / STEP];
        for (index, server) in servers.iter().enumerate() {
            let mut state = server.lock();
            // A request for no key lets the state drop what has run out.
            state.serves(0);
            if !state.up {
                continue;
            }
            for (from, to, _) in &state.holds {
                let first = usize::from(*from).div_ceil(STEP);
                for slot in first..=usize::from(*to) / STEP {
                    holders[slot].push(index);
                }
            }
        }
        for (slot, holders) in holders.iter().enumerate() {
            if holders.len() < 2 {
                since[slot] = None;
                continue;
            }
            let begun = *since[slot].get_or_insert(now);
            let lasted = now - begun;
            if lasted > longest.0 {
                longest = (lasted, slot * STEP, format!("servers {holders:?}"));
            }
            if !reported {
                reported = true;
                record.add(format!("key {} is held by servers {holders:?}", slot * STEP));
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    longest
}
