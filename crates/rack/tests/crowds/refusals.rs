//! What a refusal promises.

use std::time::Duration;

use crate::crowd::Crowd;
use crate::crowd::ENTRY;
use crate::crowd::Framing;
use crate::crowd::SERVER;
use crate::crowd::Script;
use crate::crowd::Site;
use crate::crowd::block;
use crate::crowd::chunk;
use crate::crowd::head;
use crate::crowd::little_memory;
use crate::crowd::with_length;

/// How many bodies enter at each of two hosts.
const BODIES: usize = 12;
/// What is announced, in bytes: far over any limit.
const ANNOUNCED: usize = 100_000_000_000;
/// How long the server works on each request.
const SERVICE_TIME: Duration = Duration::from_secs(1);
/// Guard against a request that is never answered.
const ANSWER_GUARD: Duration = Duration::from_secs(60);
/// Statuses that promise that a request hasn't run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Guards against unsafe requests that run though they are refused for want of memory.
#[tokio::test(flavor = "multi_thread")]
async fn refused_unsafe() {
    let mut site = Site::start(little_memory()).await;
    site.world.hosts[SERVER]
        .server
        .set_service_time(SERVICE_TIME);
    let bytes = site.limits.body_bytes;
    let ids: Vec<String> = (0..2 * BODIES)
        .map(|number| format!("unsafe-{number}"))
        .collect();
    let script = |id: &String| with_length(id, bytes, 0);
    let mut crowd = Crowd::open(site.clients(SERVER), ids[..BODIES].iter().map(script));
    crowd.join(site.clients(ENTRY), ids[BODIES..].iter().map(script));
    crowd.settle().await;
    crowd.wait_for_answers(2 * ANSWER_GUARD).await;
    site.world.hosts[SERVER]
        .server
        .set_service_time(Duration::ZERO);
    let statuses: Vec<Vec<u16>> = (0..ids.len())
        .map(|client| crowd.statuses(client))
        .collect();
    let within = site.crowd_faults(crowd).await;
    for (id, statuses) in ids.iter().zip(statuses) {
        let runs = site.world.truth.runs(id).len();
        assert!(runs <= 1, "{id} ran {runs} times");
        let is_promised = statuses.iter().any(|status| PROMISES.contains(status));
        assert!(!is_promised || runs == 0, "{id} ran and got {statuses:?}");
    }
    assert!(within.is_empty(), "{within:#?}");
}

/// Sends one body over the limit; it has to be refused for its size and not to run.
async fn check_too_large(script: Script) {
    let mut site = Site::start(little_memory()).await;
    let crowd = Crowd::open(site.clients(SERVER), [script]);
    crowd.settle().await;
    crowd.wait_for_answers(ANSWER_GUARD).await;
    let statuses = crowd.statuses(0);
    println!("statuses {statuses:?}");
    let within = site.crowd_faults(crowd).await;
    assert!(site.world.truth.runs("over").is_empty());
    assert_eq!(statuses, [413]);
    assert!(within.is_empty(), "{within:#?}");
}

/// Guards against a client that waits for its refusal until it has sent a body as far as the limit.
#[tokio::test(flavor = "multi_thread")]
async fn announced_length() {
    check_too_large(Script {
        start: head("over", Framing::Length(ANNOUNCED)).into(),
        ..Script::default()
    })
    .await;
}

/// Guards against a client that waits for its refusal until it has sent a chunk as far as the limit.
#[tokio::test(flavor = "multi_thread")]
async fn announced_chunk() {
    check_too_large(Script {
        start: head("over", Framing::Chunked).into(),
        end: format!("{ANNOUNCED:x}\r\n").into(),
        ..Script::default()
    })
    .await;
}

/// Guards against a body in chunks that is over the limit and not refused for its size.
#[tokio::test(flavor = "multi_thread")]
async fn sent_chunks() {
    let block = block();
    check_too_large(Script {
        start: head("over", Framing::Chunked).into(),
        pieces: little_memory().body_bytes / block.len(),
        piece: chunk(&block).into(),
        end: chunk(&block).into(),
        ..Script::default()
    })
    .await;
}
