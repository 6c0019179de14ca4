//! A single request inside the limits, in calm.

use std::time::Duration;

use crate::crowd::Crowd;
use crate::crowd::ENTRY;
use crate::crowd::Framing;
use crate::crowd::SERVER;
use crate::crowd::Script;
use crate::crowd::Site;
use crate::crowd::body;
use crate::crowd::chunk;
use crate::crowd::head;
use crate::crowd::small_machine;
use crate::support::digest;

const BODY_BYTES: usize = 60_000_000;
const LENGTH: Framing = Framing::Length(BODY_BYTES);
const CHUNK_BYTES: usize = 50_000;
/// Guard against a request that is never answered.
const ANSWER_GUARD: Duration = Duration::from_secs(120);

/// Guards against limits that a process in calm doesn't keep.
#[tokio::test(flavor = "multi_thread")]
async fn quiet_world() {
    let mut site = Site::start(small_machine()).await;
    site.check("in calm").await;
}

/// Sends large bodies to a host, one after the other; each has to reach the server whole and be answered.
async fn check_large(host: usize, framings: &[Framing]) {
    let mut site = Site::start(small_machine()).await;
    let sent = body(BODY_BYTES);
    for (number, framing) in framings.iter().enumerate() {
        let text = match framing {
            Framing::Length(_) => sent.clone(),
            Framing::Chunked => {
                let chunks = sent.chunks(CHUNK_BYTES).map(chunk);
                let last = b"0\r\n\r\n".to_vec();
                chunks.chain([last]).flatten().collect::<Vec<u8>>().into()
            }
        };
        let id = format!("large-{number}");
        let script = Script {
            start: head(&id, *framing).into(),
            end: text,
            ..Script::default()
        };
        let client = Crowd::open(site.clients(host), [script]);
        client.settle().await;
        client.wait_for_answers(ANSWER_GUARD).await;
        println!("crowd: {}", client.summary());
        assert_eq!(client.statuses(0), [200]);
        let got = site.world.truth.long_bodies(&id);
        assert_eq!(got, [(BODY_BYTES, digest(&sent))]);
        site.check("after the request").await;
    }
}

/// Guards against a legal body that takes a small machine over its memory.
#[tokio::test(flavor = "multi_thread")]
async fn own_length() {
    check_large(SERVER, &[LENGTH]).await;
}

/// Guards against a legal body in chunks that takes a small machine over its memory.
#[tokio::test(flavor = "multi_thread")]
async fn own_chunked() {
    check_large(SERVER, &[Framing::Chunked]).await;
}

/// Guards against a legal body that takes a small machine on its way over its memory.
#[tokio::test(flavor = "multi_thread")]
async fn hop_length() {
    check_large(ENTRY, &[LENGTH]).await;
}

/// Guards against a legal body in chunks that takes a small machine on its way over its memory.
#[tokio::test(flavor = "multi_thread")]
async fn hop_chunked() {
    check_large(ENTRY, &[Framing::Chunked]).await;
}

/// Guards against memory that a legal body leaves behind for the next.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_bodies() {
    let both = [LENGTH, Framing::Chunked];
    check_large(ENTRY, &[both, both].concat()).await;
}
