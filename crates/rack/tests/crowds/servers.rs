//! Servers whose answers are many and large.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::crowd::Answer;
use crate::crowd::Crowd;
use crate::crowd::ENTRY;
use crate::crowd::FaultyServer;
use crate::crowd::Framing;
use crate::crowd::OTHER;
use crate::crowd::SERVER;
use crate::crowd::Script;
use crate::crowd::Site;
use crate::crowd::answer_all;
use crate::crowd::block;
use crate::crowd::body;
use crate::crowd::chunk;
use crate::crowd::head;
use crate::crowd::little_memory;
use crate::crowd::small_machine;
use crate::support::Limits;

/// A request for each slot of the server.
const CLIENTS: usize = 10;
/// Size of a body; all of them together are nearly twice the memory of a process.
const LARGE_BYTES: usize = 30_000_000;
/// Pieces of a body without end: each body is nearly the memory of a process.
const ENDLESS_PIECES: usize = 2_400;
/// Chunks of a body; with thirty-two bytes for each, all bodies together are over the memory of a process.
const TINY_CHUNKS: usize = 500_000;
const TINY_CHUNK: &str = "1\r\na\r\n";
/// Number of chunks in a write.
const WRITTEN_CHUNKS: usize = 2_000;
/// Requests whose answers are in tiny chunks.
const TINY_CLIENTS: usize = 6;
/// Requests after which what an answer of two minutes adds to a mean of their times is below a second.
const PATIENT_REQUESTS: usize = 40;
/// Guard against a crowd that is never answered.
const ANSWER_GUARD: Duration = Duration::from_secs(120);

/// Port of a store beside a host.
const STORE_PORT: u16 = 8_310;
/// How long a process calls a store whose answers have no end.
const STORE_TIME: Duration = Duration::from_secs(10);

/// Returns unsafe requests in chunks on connections that stay open.
fn uploads(host: usize, clients: usize) -> impl Iterator<Item = Script> {
    (0..clients).map(move |number| {
        let chunks = [chunk(&body(300)), b"0\r\n\r\n".to_vec()];
        Script {
            start: head(&format!("upload-{host}-{number}"), Framing::Chunked).into(),
            end: chunks.concat().into(),
            ..Script::default()
        }
    })
}

/// Returns an answer of this length whose last bytes are missing.
fn large_answer(missing: usize) -> Answer {
    let sent = LARGE_BYTES - missing;
    let piece = block();
    Answer {
        headers: format!("Content-Length: {LARGE_BYTES}\r\n"),
        pieces: sent / piece.len(),
        end: piece.slice(..sent % piece.len()),
        piece,
    }
}

/// Sends requests that a server answers like this, and checks when no more of the answers is taken.
async fn check_answers(limits: Limits, answer: Answer, hosts: &[usize], clients: usize) {
    let mut site = Site::start(limits).await;
    let server = FaultyServer::begin(&site.world.hosts[SERVER].server, answer).await;
    let mut crowd = Crowd::open(site.clients(SERVER), []);
    for host in hosts {
        crowd.join(site.clients(*host), uploads(*host, clients / hosts.len()));
    }
    server.settle(clients).await;
    crowd.wait_for_answers(ANSWER_GUARD).await;
    server.end();
    quicken(&site).await;
    site.check_crowd(crowd).await;
}

/// Sends patient requests until the slow answers of a busy machine weigh little in the time that the process
/// expects of its server: it refuses who can't wait that long.
async fn quicken(site: &Site) {
    for number in 0..PATIENT_REQUESTS {
        let upload = uploads(SERVER, 1).map(|script| Script {
            start: head(&format!("patient-{number}"), Framing::Chunked).into(),
            ..script
        });
        let client = Crowd::open(site.clients(SERVER), upload);
        client.wait_for_answers(ANSWER_GUARD).await;
    }
}

/// Guards against a process that ends because it keeps the large answers of its server.
#[tokio::test(flavor = "multi_thread")]
async fn large_answers() {
    check_answers(small_machine(), large_answer(0), &[SERVER], CLIENTS).await;
}

/// Guards against a process that ends because it keeps large answers to others, or of others.
#[tokio::test(flavor = "multi_thread")]
async fn large_answers_passed_on() {
    check_answers(small_machine(), large_answer(0), &[ENTRY, OTHER], CLIENTS).await;
}

/// Guards against a process that ends because it keeps large answers that stop short of their end.
#[tokio::test(flavor = "multi_thread")]
async fn held_answers() {
    check_held(&[SERVER]).await;
}

/// Guards against a process that ends because it keeps large answers to others that stop short.
#[tokio::test(flavor = "multi_thread")]
async fn held_answers_passed_on() {
    check_held(&[ENTRY, OTHER]).await;
}

async fn check_held(hosts: &[usize]) {
    let mut site = Site::start(small_machine()).await;
    let server = FaultyServer::begin(&site.world.hosts[SERVER].server, large_answer(1)).await;
    let mut crowd = Crowd::open(site.clients(SERVER), []);
    for host in hosts {
        crowd.join(site.clients(*host), uploads(*host, CLIENTS / hosts.len()));
    }
    server.settle(CLIENTS).await;
    server.end();
    site.check_crowd(crowd).await;
}

/// Guards against a process that ends because many answers without end come at once.
#[tokio::test(flavor = "multi_thread")]
async fn endless_answers() {
    let answer = Answer {
        headers: "Transfer-Encoding: chunked\r\n".to_owned(),
        piece: chunk(&block()).into(),
        pieces: ENDLESS_PIECES,
        end: Bytes::new(),
    };
    check_answers(small_machine(), answer, &[SERVER], CLIENTS).await;
}

/// Guards against a process that needs many bytes for each chunk of one byte in an answer.
#[tokio::test(flavor = "multi_thread")]
async fn tiny_answer_chunks() {
    let answer = Answer {
        headers: "Transfer-Encoding: chunked\r\n".to_owned(),
        piece: TINY_CHUNK.repeat(WRITTEN_CHUNKS).into(),
        pieces: TINY_CHUNKS / WRITTEN_CHUNKS,
        end: "0\r\n\r\n".into(),
    };
    check_answers(little_memory(), answer, &[SERVER], TINY_CLIENTS).await;
}

/// Guards against a thread that ends at a header that no server should send.
#[tokio::test(flavor = "multi_thread")]
async fn odd_answer_headers() {
    let long = "x".repeat(60_000);
    let many = (0..90).map(|number| format!("X-Other-{number}: 1\r\n"));
    let nines = "9".repeat(300);
    let tiny = format!("0.{}1", "0".repeat(300));
    let headers = [
        "Keep-Alive: timeout=18446744073709551615\r\n".to_owned(),
        "Keep-Alive: timeout=99999999999999999999999\r\n".to_owned(),
        "Keep-Alive: timeout=0\r\n".to_owned(),
        "X-Server-Load: 4294967295,4294967295,0,18446744073709551615\r\n".to_owned(),
        "X-Server-Load: 0,0,0,0\r\n".to_owned(),
        "X-Server-Load: -1,,NaN,inf\r\n".to_owned(),
        "X-Cold-Remaining-Ms: 18446744073709551615\r\n".to_owned(),
        "Retry-After: inf\r\n".to_owned(),
        format!("Server-Limit: {nines}\r\n"),
        format!("Server-Limit: {tiny}\r\n"),
        "Server-Limit: NaN\r\n".to_owned(),
        "Connection: close, X-Server-Stamp, \u{7}\r\n".to_owned(),
        "X-Request-Id: another\r\n".to_owned(),
        format!("X-Long: {long}\r\n"),
        many.collect(),
        "Server-Leaving: 1\r\n".to_owned(),
    ];
    let mut site = Site::start(small_machine()).await;
    for (number, header) in headers.into_iter().enumerate() {
        let shown: String = header.chars().take(60).collect();
        let answer = Answer {
            headers: format!("Content-Length: 2\r\n{header}"),
            end: "ok".into(),
            ..Answer::default()
        };
        let server = FaultyServer::begin(&site.world.hosts[SERVER].server, answer).await;
        let mut crowd = Crowd::open(site.clients(SERVER), uploads(SERVER, 2));
        crowd.join(site.clients(ENTRY), uploads(ENTRY, 2));
        crowd.wait_for_answers(ANSWER_GUARD).await;
        println!(
            "{} requests, {} for {shown:?}",
            server.requests(),
            crowd.summary()
        );
        server.end();
        // What this incarnation has named holds for it alone.
        site.world.hosts[SERVER]
            .server
            .restart_as(&format!("server-1-{number}"));
        site.check(&shown).await;
    }
}

/// Guards against a thread that ends at a header that no client should send.
#[tokio::test(flavor = "multi_thread")]
async fn odd_request_headers() {
    let headers = [
        "X-Deadline-Ms: 0\r\n",
        "X-Deadline-Ms: 1\r\n",
        "X-Deadline-Ms: 18446744073709551615\r\n",
        "X-Deadline-Ms: 9223372036854775808\r\n",
        "X-Deadline-Ms: 99999999999999999999999\r\n",
        "X-Deadline-Ms: -5\r\n",
        "X-Shard-Key: 65536\r\n",
        "X-Shard-Key: -1\r\n",
        "X-Shard-Key: 65535\r\nX-Shard-Key: 0\r\n",
        "X-Request-Id: \u{e9}\r\n",
        "Connection: X-Deadline-Ms, X-Request-Id\r\n",
        "Content-Length: 18446744073709551615\r\n",
        "Expect: 100-continue\r\n",
    ];
    let mut site = Site::start(small_machine()).await;
    for header in headers {
        let mut crowd = Crowd::open(site.clients(SERVER), []);
        for host in [SERVER, ENTRY] {
            let requests = ["plain", "keyed", "none"].map(|route| Script {
                start: format!("GET /{route}/1 HTTP/1.1\r\nHost: shop.example\r\n{header}\r\n")
                    .into(),
                ..Script::default()
            });
            crowd.join(site.clients(host), requests);
        }
        crowd.settle().await;
        crowd.wait_for_answers(Duration::from_secs(2)).await;
        println!("{} for {header:?}", crowd.summary());
        drop(crowd);
        site.check(header).await;
    }
}

/// Guards against a process that ends because it keeps an answer of the store that has no end.
#[tokio::test(flavor = "multi_thread")]
async fn endless_store_answers() {
    let mut site = Site::start(small_machine()).await;
    let store = SocketAddr::new(site.clients(ENTRY).ip(), STORE_PORT);
    let answer = Answer {
        headers: "Transfer-Encoding: chunked\r\n".to_owned(),
        piece: chunk(&block()).into(),
        pieces: ENDLESS_PIECES,
        end: Bytes::new(),
    };
    let serving = tokio::spawn(answer_all(store, answer));
    site.world.kill_node(ENTRY);
    let table = "[platform.platform]\naddress = ";
    site.world
        .change_settings(ENTRY, table, &format!("{table}\"{store}\"\nearlier = "));
    site.world.start_node(ENTRY);
    tokio::time::sleep(STORE_TIME).await;
    serving.abort();
    site.check("after the store's answers").await;
}
