//! All processes are killed, and for a few seconds the store takes no appends.
//!
//! Every node that looks for a leader sends one claim. None is carried out and none is answered. When the
//! store takes appends again, no node claims any more, so the system never has a leader again.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::deployment::Deployment;
use crate::store::FULL;
use crate::store::SERVES;
use crate::store::SILENT_APPENDS;

/// How long the processes are down: the platform starts them again after a short delay.
const DOWN: Duration = Duration::from_millis(500);
/// How long the store takes no appends.
const OUTAGE: Duration = Duration::from_millis(4_500);
/// The bound of the rule.
const RECOVERY: Duration = Duration::from_secs(15);
/// For how long requests are counted after that.
const COUNTED: Duration = Duration::from_secs(25);
const KEYS: [u16; 6] = [5, 12_000, 24_000, 36_000, 48_000, 65_000];

pub fn run(folder: &Path, trouble: bool) -> i32 {
    let services = [("catalog", true), ("catalog", true), ("catalog", true)];
    let mut deployment = Deployment::start(&services, Duration::from_millis(20));
    let code = play(&mut deployment, trouble);
    deployment.finish(folder);
    code
}

fn play(deployment: &mut Deployment, trouble: bool) -> i32 {
    let record = std::sync::Arc::clone(&deployment.record);
    if !deployment.wait_until_served("/get-catalog/1", &KEYS, Duration::from_secs(20)) {
        record.note("the deployment did not start");
        return 2;
    }
    let (before, sent_before) = count(deployment, "before", Duration::from_secs(4));
    record.note(format!("before the final fault {before} of {sent_before} requests are served"));
    if trouble {
        let mode = match std::env::var("MODE").as_deref() {
            Ok("full") => FULL,
            _ => SILENT_APPENDS,
        };
        deployment.store.mode.store(mode, Ordering::SeqCst);
        record.note("the store takes no appends");
    }
    let outage = Instant::now();
    for machine in &mut deployment.machines {
        machine.kill();
    }
    thread::sleep(DOWN);
    for machine in &mut deployment.machines {
        machine.start();
    }
    thread::sleep(OUTAGE.saturating_sub(outage.elapsed()));
    deployment.store.mode.store(SERVES, Ordering::SeqCst);
    // The machines have been back for some seconds by now; the bound is counted from here all the same.
    let back = Instant::now();
    let refused = deployment.store.refused.load(Ordering::SeqCst);
    record.note(format!("the store takes appends again; it did not carry out {refused}"));
    let appended = deployment.store.appended.load(Ordering::SeqCst);
    thread::sleep(RECOVERY.saturating_sub(back.elapsed()));
    let (after, sent_after) = count(deployment, "after", COUNTED);
    let appended = deployment.store.appended.load(Ordering::SeqCst) - appended;
    let ready = deployment.machines.iter().filter(|machine| machine.is_ready()).count();
    record.note(format!(
        "later than {} s after the machines and the store are back {after} of {sent_after} requests are served; \
         {ready} of {} nodes are ready; {appended} appends since the store takes them again",
        RECOVERY.as_secs(),
        deployment.machines.len()
    ));
    for machine in &deployment.machines {
        for event in ["claim", "leads", "follows"] {
            for line in machine.log_lines(event) {
                record.add(format!("log of {}: {line}", machine.node_name));
            }
        }
    }
    let was_served = before * 4 >= sent_before;
    let is_broken = was_served && after * 4 < sent_after;
    record.note(if is_broken { "RECOVER is broken" } else { "RECOVER holds" });
    i32::from(is_broken)
}

/// Sends requests at all machines for a while; returns how many are served, and how many were sent.
fn count(deployment: &Deployment, name: &str, span: Duration) -> (usize, usize) {
    let start = Instant::now();
    let (mut served, mut sent) = (0, 0);
    while start.elapsed() < span {
        for machine in &deployment.machines {
            let key = KEYS[sent % KEYS.len()];
            let id = format!("{name}-{sent}");
            sent += 1;
            served += usize::from(machine.request("GET", "/get-catalog/1", &id, Some(key), 1_500) == Some(200));
        }
        thread::sleep(Duration::from_millis(100));
    }
    (served, sent)
}
