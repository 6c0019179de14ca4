//! A few clients of one machine upload bodies at once, each within the limits of the configuration.
//!
//! The process holds every body whole, some of them twice while its buffer grows, and nothing bounds their sum.
//! It exceeds the memory of its machine and is killed, and all that it has under way is lost.

use std::fs;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::deployment::Deployment;
use crate::http;
use crate::record::Record;

/// `memory_mb` of the settings.
const MEMORY_MB: u64 = 260;
/// The size of a body; the configuration's `max_body_bytes` is 67,108,864.
const BODY_BYTES: usize = 60 << 20;
/// The size of a body without the disruption.
const SMALL_BODY_BYTES: usize = 60 << 10;
/// How many clients upload at once.
const UPLOADS: usize = 4;
/// How many other clients use kept connections.
const KEPT: usize = 8;
/// How many closed connections the rule allows.
const ALLOWED: u64 = 3;
/// How often the uploads are repeated.
const ROUNDS: usize = 3;

pub fn run(folder: &Path, trouble: bool) -> i32 {
    let services = [("escrow", false), ("escrow", false), ("escrow", false)];
    let mut deployment = Deployment::start(&services, Duration::from_millis(210));
    let code = play(&mut deployment, trouble);
    deployment.finish(folder);
    code
}

fn play(deployment: &mut Deployment, trouble: bool) -> i32 {
    let record = Arc::clone(&deployment.record);
    if !deployment.wait_until_served("/get-escrow/1", &[1], Duration::from_secs(20)) {
        record.note("the deployment did not start");
        return 2;
    }
    // Until the machines are in touch.
    thread::sleep(Duration::from_secs(4));
    let ip = deployment.machines[0].ip.clone();
    let (end, closed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let mut clients = Vec::new();
    for index in 0..KEPT {
        let (ip, record) = (ip.clone(), Arc::clone(&record));
        let (end, closed) = (Arc::clone(&end), Arc::clone(&closed));
        let servers: Vec<_> = deployment.machines.iter().map(|machine| machine.server.clone()).collect();
        clients.push(thread::spawn(move || {
            let was_begun = |id: &str| {
                servers.iter().any(|server| server.lock().begun.iter().any(|(begun, ..)| begun == id))
            };
            let mut round = 0;
            while !end.load(Ordering::SeqCst) {
                round += 1;
                keep_asking(&ip, &record, index, round, &end, &|id| {
                    let was_begun = was_begun(id);
                    record.add(format!("{id}: the connection ends without an answer; begun at a server: {was_begun}"));
                    closed.fetch_add(u64::from(was_begun), Ordering::SeqCst);
                });
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    let bytes = if trouble { BODY_BYTES } else { SMALL_BODY_BYTES };
    let mut kills = 0;
    for round in 0..ROUNDS {
        let uploads: Vec<_> = (0..UPLOADS)
            .map(|index| {
                let (ip, record) = (ip.clone(), Arc::clone(&record));
                thread::spawn(move || upload(&ip, &record, &format!("upload-{round}-{index}"), bytes))
            })
            .collect();
        let (start, mut most) = (Instant::now(), 0);
        while start.elapsed() < Duration::from_secs(5) {
            let memory = deployment.machines[0].memory_mb();
            most = most.max(memory);
            if memory > MEMORY_MB {
                record.note(format!("sidecar-0 uses {memory} MB of {MEMORY_MB} and is killed"));
                deployment.machines[0].kill();
                kills += 1;
                thread::sleep(Duration::from_millis(500));
                deployment.machines[0].start();
            }
            thread::sleep(Duration::from_millis(3));
        }
        record.note(format!("round {round}: at most {most} MB"));
        for upload in uploads {
            upload.join().ok();
        }
    }
    end.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().ok();
    }
    let closed = closed.load(Ordering::SeqCst);
    record.note(format!(
        "the process ended {kills} times; {closed} requests of kept connections had been passed on to a server \
         and got no answer; {ALLOWED} are allowed"
    ));
    let is_broken = closed > ALLOWED;
    record.note(if is_broken { "LOST is broken" } else { "LOST holds" });
    i32::from(is_broken)
}

/// Sends one request after the other on one connection until it ends.
fn keep_asking(
    ip: &str,
    record: &Record,
    index: usize,
    round: u32,
    end: &AtomicBool,
    lost: &dyn Fn(&str),
) {
    let address: SocketAddr = format!("{ip}:8304").parse().unwrap();
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return;
    };
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(Duration::from_millis(2_700))).ok();
    let Ok(copy) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(copy);
    let mut sent = 0;
    while !end.load(Ordering::SeqCst) {
        let id = format!("k{index}-{round}-{sent}");
        sent += 1;
        let head = format!(
            "POST /order-escrow/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2500\r\n\
             Content-Length: 0\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        match http::read(&mut reader) {
            Ok(Some(answer)) => {
                record.add(format!("client {index}: {id} -> {}", answer.status()));
                let closes = answer.header("connection").is_some_and(|value| value == "close");
                if answer.status() != 200 {
                    // Clients honour Retry-After.
                    let pause = answer.header("retry-after").and_then(|text| text.parse().ok());
                    thread::sleep(Duration::from_secs_f64(pause.unwrap_or(0.1)));
                }
                if closes {
                    return;
                }
            }
            // The first request shows that the connection is one that is kept.
            _ => return if sent > 1 { lost(&id) },
        }
    }
}

fn upload(ip: &str, record: &Record, id: &str, bytes: usize) {
    let address: SocketAddr = format!("{ip}:8304").parse().unwrap();
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return;
    };
    stream.set_read_timeout(Some(Duration::from_millis(2_700))).ok();
    stream.set_write_timeout(Some(Duration::from_millis(2_700))).ok();
    let head = format!(
        "POST /order-escrow/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2500\r\n\
         Connection: close\r\nContent-Length: {bytes}\r\n\r\n"
    );
    let sent = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&vec![b'x'; bytes]));
    let answer = http::read(&mut BufReader::new(stream));
    let status = answer.ok().flatten().map(|answer| answer.status());
    record.add(format!("{id}: {bytes} bytes sent: {} -> {status:?}", sent.is_ok()));
}

impl crate::deployment::Machine {
    /// Returns how much memory the process uses, as the platform sees it.
    fn memory_mb(&self) -> u64 {
        let id = self.process_id().unwrap_or_default();
        let text = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        kilobytes.unwrap_or_default() / 1_024
    }
}
