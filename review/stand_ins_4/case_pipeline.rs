//! A process gets SIGTERM while pipelined requests that it has passed on are being worked on.
//!
//! A client sends three idempotent requests on one connection without waiting. The node passes all of them on at once.
//! It gets SIGTERM, and the response to the first request says that the connection closes. The connection ends there,
//! and the other two requests, at which servers are at work, get no answer.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::Deployment;
use crate::http::read_message;
use crate::server::Server;

/// How long servers work on a request; the client waits for four seconds.
const WORK: Duration = Duration::from_millis(900);
const ROUNDS: usize = 1;
const REQUESTS: usize = 3;

pub fn play(record: &Path, trouble: bool) -> Verdict {
    let mut world = Deployment::start(4, None, WORK);
    world.start_servers();
    let verdict = if world.wait_serving() { run(&mut world, trouble) } else { Verdict::NotRun };
    world.finish();
    world.write_record(record);
    verdict
}

fn run(world: &mut Deployment, trouble: bool) -> Verdict {
    thread::sleep(Duration::from_secs(4));
    let mut lost = 0;
    let mut answered = 0;
    for round in 0..ROUNDS {
        // Connections to different machines, each of which is stopped once.
        let ids: Vec<String> = (0..REQUESTS).map(|number| format!("p{round}-{number}")).collect();
        let Some(answers) = send_pipelined(world, round, &ids, trouble) else {
            return Verdict::NotRun;
        };
        thread::sleep(Duration::from_millis(500));
        for id in &ids {
            let run = world.servers.iter().flat_map(Server::runs).find(|run| run.id == *id);
            let was_answered = answers.contains(id);
            answered += usize::from(was_answered);
            if let Some(run) = run.filter(|_| !was_answered) {
                lost += 1;
                world.record.note(format!("LOST broken: {id} was passed on, its run was {:?}, and it has no answer", run.ended));
            }
        }
    }
    world.record.note(format!("{answered} of {} requests were answered; {lost} were passed on to a server and have no answer", ROUNDS * REQUESTS));
    match lost > 0 {
        true => Verdict::Broken,
        false if answered > 0 => Verdict::Held,
        false => Verdict::NotRun,
    }
}

/// Sends requests on one connection to a machine and returns the ids that were answered.
fn send_pipelined(world: &Deployment, machine: usize, ids: &[String], trouble: bool) -> Option<Vec<String>> {
    let node = &world.nodes[machine];
    let mut stream = TcpStream::connect(node.clients).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    for id in ids {
        let text = format!("GET /browse/{id} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 4000\r\n\r\n");
        stream.write_all(text.as_bytes()).ok()?;
        world.record.note(format!("client sends {id} to {}", node.name));
    }
    let sent = Instant::now();
    let runs = || world.servers.iter().flat_map(Server::runs).filter(|run| ids.contains(&run.id)).count();
    while runs() < ids.len() && sent.elapsed() < Duration::from_millis(600) {
        thread::sleep(Duration::from_millis(5));
    }
    world.record.note(format!("{} of the requests are at servers", runs()));
    if trouble {
        node.terminate();
    }
    let mut reader = BufReader::new(stream);
    let mut answers = Vec::new();
    loop {
        match read_message(&mut reader) {
            Ok(Some(answer)) => {
                let id = answer.header("x-request-id").unwrap_or_default().to_owned();
                world.record.note(format!("client gets {} for {id}, Connection: {:?}", answer.status(), answer.header("connection")));
                answers.push(id);
                if answers.len() == ids.len() {
                    return Some(answers);
                }
            }
            end => {
                world.record.note(format!("the connection ends: {:?}", end.map(|_| "closed")));
                return Some(answers);
            }
        }
    }
}
