//! Requests under which backend servers end.

use std::time::Duration;
use std::time::Instant;

use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::poison::ContentDigest;
use quetzalrack_core::traffic::poison::ServerLife;
use quetzalrack_core::traffic::poison::SuspectNews;
use quetzalrack_core::traffic::poison::SuspectTable;
use quetzalrack_core::traffic::poison::Witness;
use reqwest::StatusCode;
use rustix::process::Signal;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::support::ClientResponse;
use super::support::World;

const START: Duration = Duration::from_secs(30);
/// How often clients ask for a content, each time with an id of its own.
const CLIENT_ATTEMPTS: usize = 24;
/// Pause between two attempts of a client.
const PAUSE: Duration = Duration::from_millis(150);
/// Pause between the attempts at processes that start.
const SHORT_PAUSE: Duration = Duration::from_millis(20);
/// How long the one process that knows of a content answers nobody.
const FREEZE_TIME: Duration = Duration::from_millis(900);
/// By then processes that were started together are ready.
const RESTART_TIME: Duration = Duration::from_secs(4);
/// A request that is refused at once has its response by then, on a busy machine too.
const AT_ONCE: Duration = Duration::from_millis(100);
/// How many letters a frozen process gets.
const LETTERS: usize = 20;
const SERVICES: [&str; 8] = [
    "plain", "plain", "plain", "plain", "keyed", "keyed", "keyed", "keyed",
];

/// One answered attempt and how long it took.
type Attempt = (ClientResponse, Duration);

async fn start() -> World {
    let world = World::start(&SERVICES).await;
    world.wait_until_served(START).await;
    world
}

/// Asks once for a content.
async fn ask_once(world: &World, number: usize, path: &str, key: Option<u16>) -> Attempt {
    let host = number * 3 % world.hosts.len();
    let id = format!("{path}-{number}");
    let sent = Instant::now();
    let response = world.request(host, &id, path, key).await;
    (response, sent.elapsed())
}

/// Asks for a content at one host after the other.
async fn ask(world: &World, path: &str, key: Option<u16>) -> Vec<Attempt> {
    let mut attempts = Vec::new();
    for number in 0..CLIENT_ATTEMPTS {
        attempts.push(ask_once(world, number, path, key).await);
        tokio::time::sleep(PAUSE).await;
    }
    attempts
}

/// Checks that no more than `most` servers ended under the contents of a test, and that none was sent after the
/// third end.
fn check_ends(world: &World, most: usize) {
    let records = world.truth.contents.marked("");
    assert!(!records.is_empty(), "no content was marked");
    for record in records {
        let (ends, arrivals) = (record.ends.len(), record.arrivals.len());
        let late = record.arrivals_after_ends(Duration::ZERO);
        assert!(
            ends <= most && late == 0,
            "{ends} servers ended, {arrivals} sendings, {late} after the third end"
        );
    }
}

/// Returns how many requests of other contents were refused for suspicion, by any node.
fn innocent_refused(world: &World) -> usize {
    let hosts = 0..world.hosts.len();
    let refused = hosts.flat_map(|host| {
        let mut lines = world.lines(host, "why", "poison");
        lines.extend(world.lines(host, "why", "suspected"));
        lines
    });
    let innocent = refused.filter(|line| !line["id"].to_string().contains("ends-servers"));
    innocent.count()
}

/// Guards against a request under which servers end that is sent to one after the other, as its client asks
/// again at other hosts.
#[tokio::test(flavor = "multi_thread")]
async fn client_attempts() {
    let world = start().await;
    let attempts = ask(&world, "/plain/ends-servers", None).await;
    check_ends(&world, 3);
    for (response, took) in &attempts[CLIENT_ATTEMPTS / 2..] {
        assert_eq!(response.status, Some(StatusCode::SERVICE_UNAVAILABLE));
        assert!(*took < AT_ONCE, "refused after {took:?}");
    }
}

/// Guards against such a request for a key, which ends each owner that the key moves to.
#[tokio::test(flavor = "multi_thread")]
async fn keyed() {
    let world = start().await;
    ask(&world, "/keyed/ends-servers", Some(40_000)).await;
    check_ends(&world, 3);
}

/// Guards against the same where keys are granted by call.
#[tokio::test(flavor = "multi_thread")]
async fn keyed_by_call() {
    let world = World::start_by_call(&SERVICES).await;
    world.wait_until_served(START).await;
    ask(&world, "/keyed/ends-servers", Some(40_000)).await;
    check_ends(&world, 3);
}

/// Guards against such a request that may run once only, as its client asks again with other ids, and against
/// one that is told not to have run although it has.
#[tokio::test(flavor = "multi_thread")]
async fn once() {
    let world = start().await;
    for number in 0..CLIENT_ATTEMPTS {
        let (host, id) = (
            number * 3 % SERVICES.len(),
            format!("ends-servers-{number}"),
        );
        let response = world.post(host, &id, "/once/1", "body ends-servers").await;
        let ran = !world.truth.runs(&id).is_empty();
        let expected = match ran {
            true => StatusCode::BAD_GATEWAY,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        assert_eq!(response.status, Some(expected), "{id} ran: {ran}");
        tokio::time::sleep(PAUSE).await;
    }
    check_ends(&world, 3);
}

/// Guards against copies of such a request that are sent at once by many clients, again and again. The first
/// ones are all under way before a server ends, one at each.
#[tokio::test(flavor = "multi_thread")]
async fn copies() {
    let world = start().await;
    for round in 0..6 {
        let numbers = (0..12).map(|number| round * 100 + number);
        let asked = numbers.map(|number| ask_once(&world, number, "/plain/ends-servers", None));
        futures::future::join_all(asked).await;
        tokio::time::sleep(PAUSE).await;
    }
    check_ends(&world, 4);
}

/// Guards against knowledge that ends with the process beside the ended server, or with that of the host where
/// the client asked.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_nodes() {
    let mut world = start().await;
    for number in 0..CLIENT_ATTEMPTS {
        ask_once(&world, number, "/plain/ends-servers", None).await;
        for host in [number * 3 % SERVICES.len(), number % 4] {
            world.kill_node(host);
            world.start_node(host);
        }
        tokio::time::sleep(PAUSE * 3).await;
    }
    check_ends(&world, 3);
}

/// Guards against processes that take themselves for informed since others around them have just started too:
/// all but one are killed together, clients ask as soon as they are back, and the one that knows is frozen.
#[tokio::test(flavor = "multi_thread")]
async fn killed_together() {
    let mut world = start().await;
    for number in 0..CLIENT_ATTEMPTS / 3 {
        ask_once(&world, number, "/plain/ends-servers", None).await;
    }
    check_ends(&world, 3);
    for host in 1..SERVICES.len() {
        world.kill_node(host);
    }
    for host in 1..SERVICES.len() {
        world.start_node(host);
    }
    let known = world.hosts[0].process();
    known.signal(Signal::STOP);
    let thaw = async {
        tokio::time::sleep(FREEZE_TIME).await;
        known.signal(Signal::CONT);
    };
    tokio::join!(ask_while_starting(&world, 0), thaw);
    check_ends(&world, 3);
}

/// Asks for the content at each host but one as soon as its process is back.
async fn ask_while_starting(world: &World, known: usize) {
    let start = Instant::now();
    let asked = (0..SERVICES.len()).filter(|host| *host != known);
    let asked = asked.map(|host| async move {
        let mut number = 0;
        while start.elapsed() < RESTART_TIME {
            let id = format!("ends-servers-{host}-{number}");
            world.request(host, &id, "/plain/ends-servers", None).await;
            number += 1;
            tokio::time::sleep(SHORT_PAUSE).await;
        }
    });
    futures::future::join_all(asked).await;
}

/// Guards against a process that forgets what it was told while it was frozen, as those that told it have given up or
/// ended by the time it goes on: it is the only one that is left.
#[tokio::test(flavor = "multi_thread")]
async fn told_while_frozen() {
    let mut world = start().await;
    let leader = world.leader();
    let frozen = if leader == 7 { 6 } else { 7 };
    world.hosts[frozen].process().stop();
    for number in 0..CLIENT_ATTEMPTS / 3 {
        let id = format!("ends-servers-{number}");
        world
            .request(number % frozen, &id, "/plain/ends-servers", None)
            .await;
        tokio::time::sleep(PAUSE).await;
    }
    check_ends(&world, 3);
    let others: Vec<usize> = (0..SERVICES.len()).filter(|host| *host != frozen).collect();
    for host in &others {
        world.kill_node(*host);
    }
    world.hosts[frozen].process().signal(Signal::CONT);
    for host in &others {
        world.start_node(*host);
    }
    ask_while_starting(&world, frozen).await;
    check_ends(&world, 3);
}

/// Guards against a call under which servers end: its caller is no longer served and is sent to the next server,
/// beside which another node makes the same call.
#[tokio::test(flavor = "multi_thread")]
async fn calls() {
    let world = start().await;
    ask(&world, "/plain/1?calls=/keyed/ends-servers", Some(40_000)).await;
    let callees = world.truth.contents.marked("/keyed/ends-servers");
    assert!(!callees.is_empty());
    check_ends(&world, 3);
}

/// Guards against knowledge that depends on the store or on the leader: both are away while servers end.
#[tokio::test(flavor = "multi_thread")]
async fn without_store_or_leader() {
    let mut world = start().await;
    world.store.set_unavailable(true);
    let leader = world.leader();
    world.kill_node(leader);
    for number in 0..CLIENT_ATTEMPTS {
        if number * 3 % SERVICES.len() != leader {
            ask_once(&world, number, "/plain/ends-servers", None).await;
            tokio::time::sleep(PAUSE).await;
        }
    }
    check_ends(&world, 3);
}

/// Guards against the refusal of innocent requests that were under way with a guilty one, and are sent on
/// together with it.
#[tokio::test(flavor = "multi_thread")]
async fn neighbours() {
    let world = start().await;
    for host in &world.hosts {
        host.server.set_service_time(Duration::from_millis(120));
    }
    let neighbours = (0..10).map(|client| {
        let world = &world;
        async move {
            let mut served = 0;
            for number in 0..12 {
                // A client asks again a few times.
                for attempt in 0..4 {
                    let path = format!("/plain/{client}-{number}");
                    let id = format!("{path}-{attempt}");
                    let response = world.request(client % 8, &id, &path, None).await;
                    if response.status == Some(StatusCode::OK) {
                        served += 1;
                        break;
                    }
                    tokio::time::sleep(PAUSE).await;
                }
            }
            served
        }
    });
    let guilty = ask(&world, "/plain/ends-servers", None);
    let (served, _) = tokio::join!(futures::future::join_all(neighbours), guilty);
    check_ends(&world, 3);
    assert_eq!(innocent_refused(&world), 0);
    assert_eq!(served.iter().sum::<usize>(), 120);
}

/// Clients ask for a few contents all the time until `end`: the same paths from several clients, and paths of
/// their own. Returns how many requests were served, and how many there were.
async fn ask_innocently(world: &World, end: Instant) -> (usize, usize) {
    let clients = (0..16).map(|client| async move {
        let (mut served, mut all) = (0, 0);
        while Instant::now() < end {
            let path = match all % 2 {
                0 => "/plain/popular".to_owned(),
                _ => format!("/plain/{client}-{all}"),
            };
            for attempt in 0..3 {
                let id = format!("{path}-{client}-{all}-{attempt}");
                let host = client % world.hosts.len();
                let response = world.request(host, &id, &path, None).await;
                if response.status == Some(StatusCode::OK) {
                    served += 1;
                    break;
                }
                tokio::time::sleep(PAUSE).await;
            }
            all += 1;
        }
        (served, all)
    });
    let counts = futures::future::join_all(clients).await;
    let sum = |(served, all), (more, further)| (served + more, all + further);
    counts.into_iter().fold((0, 0), sum)
}

/// Guards against the refusal of innocent requests, equal ones among them, whose servers crash one after the
/// other and all at once.
#[tokio::test(flavor = "multi_thread")]
async fn innocent_crashes() {
    let world = start().await;
    for host in &world.hosts {
        host.server.set_service_time(Duration::from_millis(60));
    }
    let crashes = async {
        for round in 0..8_usize {
            let crashed = match round % 4 {
                3 => vec![0, 1, 2, 3],
                one => vec![one],
            };
            for host in &crashed {
                world.hosts[*host].server.crash();
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
            for host in &crashed {
                let server = &world.hosts[*host].server;
                server.restart_as(&format!("server-{host}-{round}"));
            }
            tokio::time::sleep(Duration::from_millis(700)).await;
        }
    };
    let asked = ask_innocently(&world, Instant::now() + Duration::from_secs(8));
    let ((served, all), ()) = tokio::join!(asked, crashes);
    let refused = innocent_refused(&world);
    println!("{refused} of {all} innocent requests refused, {served} served");
    assert_eq!(refused, 0);
}

/// Guards against the refusal of innocent requests, equal ones among them, whose hosts lose power two at a time,
/// nodes and servers together.
#[tokio::test(flavor = "multi_thread")]
async fn innocent_power_losses() {
    let mut world = start().await;
    for host in &world.hosts {
        host.server.set_service_time(Duration::from_millis(60));
    }
    let (mut served, mut all) = (0, 0);
    for round in 0..4_usize {
        let lost = [round % 4, (round + 1) % 4];
        let end = Instant::now() + Duration::from_millis(1_600);
        let before = ask_innocently(&world, Instant::now() + Duration::from_millis(300)).await;
        for host in lost {
            world.kill_node(host);
            world.hosts[host].server.crash();
        }
        let during = ask_innocently(&world, end - Duration::from_millis(600)).await;
        for host in lost {
            let id = format!("server-{host}-{round}");
            world.hosts[host].server.restart_as(&id);
            world.start_node(host);
        }
        let after = ask_innocently(&world, end + Duration::from_millis(600)).await;
        for (more, further) in [before, during, after] {
            served += more;
            all += further;
        }
    }
    let refused = innocent_refused(&world);
    println!("{refused} of {all} innocent requests refused, {served} served");
    assert_eq!(refused, 0);
}

/// Guards against the refusal of innocent requests, equal ones among them, during a roll in which each server ends
/// with requests under way.
#[tokio::test(flavor = "multi_thread")]
async fn innocent_roll() {
    let world = start().await;
    for host in &world.hosts {
        host.server.set_service_time(Duration::from_millis(60));
    }
    let roll = async {
        for host in 0..4 {
            let server = &world.hosts[host].server;
            server.drain();
            tokio::time::sleep(Duration::from_millis(250)).await;
            server.crash();
            server.restart_as(&format!("server-{host}-rolled"));
            tokio::time::sleep(Duration::from_millis(900)).await;
        }
    };
    let asked = ask_innocently(&world, Instant::now() + Duration::from_secs(6));
    let ((served, all), ()) = tokio::join!(asked, roll);
    let refused = innocent_refused(&world);
    println!("{refused} of {all} innocent requests refused, {served} served");
    assert_eq!(refused, 0);
}

/// Sends a request for news of suspected contents on a connection between nodes.
async fn send_news_request(stream: &mut TcpStream, method: &str, body: &[u8]) {
    let head = format!(
        "{method} /quetzalrack/suspects HTTP/1.1\r\nhost: node\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let bytes = [head.as_bytes(), body].concat();
    stream.write_all(&bytes).await.unwrap();
}

/// Asks a node on an open connection what it knows.
async fn fetch_news(stream: &mut TcpStream) -> SuspectNews {
    send_news_request(stream, "GET", &[]).await;
    let mut bytes = Vec::new();
    loop {
        assert!(stream.read_buf(&mut bytes).await.unwrap() > 0);
        let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
        let Some((head, _)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head.split_once("content-length: ").unwrap().1;
        let length: usize = length.split("\r\n").next().unwrap().parse().unwrap();
        let begin = bytes
            .windows(4)
            .position(|part| part == b"\r\n\r\n")
            .unwrap()
            + 4;
        if bytes.len() >= begin + length {
            return postcard::from_bytes(&bytes[begin..begin + length]).unwrap();
        }
    }
}

/// Guards against news that is lost since its sender gave up before the node, which was frozen, read it.
#[tokio::test(flavor = "multi_thread")]
async fn read_late() {
    let world = World::start(&["plain", "keyed"]).await;
    world.wait_until_served(START).await;
    let address = world.hosts[0].hops();
    let mut connections = Vec::new();
    for _ in 0..LETTERS {
        let mut stream = TcpStream::connect(address).await.unwrap();
        fetch_news(&mut stream).await;
        connections.push(stream);
    }
    world.hosts[0].process().stop();
    // Every other letter comes on a new connection.
    for (number, mut stream) in connections.into_iter().enumerate() {
        if number % 2 == 1 {
            stream = TcpStream::connect(address).await.unwrap();
        }
        let mut table = SuspectTable::default();
        let content = ContentDigest::of([number.to_string().as_bytes()]);
        let server = ServerLife::of("server", 1);
        table.record_end(Moment(1), content, server, Witness::Beside, false);
        let news = SuspectNews {
            records: table.records(),
            ..SuspectNews::default()
        };
        let body = postcard::to_allocvec(&news).unwrap();
        send_news_request(&mut stream, "POST", &body).await;
    }
    world.hosts[0].process().signal(Signal::CONT);
    tokio::time::sleep(PAUSE * 2).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let known = fetch_news(&mut stream).await.records.len();
    assert_eq!(known, LETTERS, "contents of {LETTERS} are known");
}
