//! Many bodies of legal size at once.

use std::time::Duration;

use bytes::Bytes;

use crate::crowd::Crowd;
use crate::crowd::SERVER;
use crate::crowd::Script;
use crate::crowd::Site;
use crate::crowd::in_chunks;
use crate::crowd::little_memory;
use crate::crowd::with_length;

/// A crowd whose bodies are two and a half times the memory of the process.
const LARGE_BODIES: usize = 16;
/// A crowd whose small bodies are over twice the memory of the process.
const SMALL_BODIES: usize = 1_600;
const SMALL_BYTES: usize = 128 * 1024;
const LARGE_CHUNK_BYTES: usize = 1_000_000;
const SMALL_CHUNK: &str = "10\r\n0123456789abcdef\r\n";
/// Chunks of a body; all bodies together are half as large again as the memory of the process.
const SMALL_CHUNKS: usize = 560_000;
const SMALL_CHUNK_BODIES: usize = 16;
const TINY_CHUNK: &str = "1\r\na\r\n";
/// Chunks of a body; with sixteen bytes for each all bodies together are over the memory of the process.
const TINY_CHUNKS: usize = 280_000;
const TINY_CHUNK_BODIES: usize = 24;
/// Number of chunks in a write.
const WRITTEN_CHUNKS: usize = 2_000;
/// How long the server works, so that the bodies of all requests are held at once.
const SERVICE_TIME: Duration = Duration::from_secs(3);
/// Guard against a crowd that is never answered.
const ANSWER_GUARD: Duration = Duration::from_secs(120);

/// Guards against a process that ends because it keeps all bodies that come at once.
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies() {
    let mut site = Site::start(little_memory()).await;
    site.world.hosts[SERVER]
        .server
        .set_service_time(SERVICE_TIME);
    let bytes = site.limits.body_bytes;
    let scripts = (0..LARGE_BODIES).map(|number| with_length(&format!("whole-{number}"), bytes, 0));
    let crowd = Crowd::open(site.clients(SERVER), scripts);
    crowd.settle().await;
    crowd.wait_for_answers(ANSWER_GUARD).await;
    site.world.hosts[SERVER]
        .server
        .set_service_time(Duration::ZERO);
    site.check_crowd(crowd).await;
}

/// Guards against a process that ends because it keeps bodies that stop short of their end.
#[tokio::test(flavor = "multi_thread")]
async fn held_bodies() {
    let mut site = Site::start(little_memory()).await;
    let bytes = site.limits.body_bytes;
    let scripts = (0..LARGE_BODIES).map(|number| with_length(&format!("held-{number}"), bytes, 1));
    let crowd = Crowd::open(site.clients(SERVER), scripts);
    site.check_crowd(crowd).await;
}

/// Guards against a process that ends because it keeps bodies in large chunks that stop short.
#[tokio::test(flavor = "multi_thread")]
async fn large_chunks() {
    let mut site = Site::start(little_memory()).await;
    let whole = site.limits.body_bytes / LARGE_CHUNK_BYTES - 1;
    let scripts = (0..LARGE_BODIES)
        .map(|number| in_chunks(&format!("large-{number}"), LARGE_CHUNK_BYTES, whole));
    let crowd = Crowd::open(site.clients(SERVER), scripts);
    site.check_crowd(crowd).await;
}

/// Guards against a process that ends because it keeps bodies in small chunks that stop short.
#[tokio::test(flavor = "multi_thread")]
async fn small_chunks() {
    check_chunks(SMALL_CHUNK_BODIES, SMALL_CHUNKS, SMALL_CHUNK).await;
}

/// Guards against a process that needs many bytes for each chunk of one byte.
#[tokio::test(flavor = "multi_thread")]
async fn tiny_chunks() {
    check_chunks(TINY_CHUNK_BODIES, TINY_CHUNKS, TINY_CHUNK).await;
}

/// Checks beside bodies of this many equal chunks that stop short.
async fn check_chunks(bodies: usize, chunks: usize, chunk: &str) {
    let mut site = Site::start(little_memory()).await;
    let piece = Bytes::from(chunk.repeat(WRITTEN_CHUNKS));
    let scripts = (0..bodies).map(|number| Script {
        piece: piece.clone(),
        pieces: chunks / WRITTEN_CHUNKS,
        ..in_chunks(&format!("chunks-{number}"), 1, 0)
    });
    let crowd = Crowd::open(site.clients(SERVER), scripts);
    site.check_crowd(crowd).await;
}

/// Guards against a process that ends, or answers nobody, because it keeps many small bodies that stop
/// short.
#[tokio::test(flavor = "multi_thread")]
async fn small_bodies() {
    let mut site = Site::start(little_memory()).await;
    let scripts =
        (0..SMALL_BODIES).map(|number| with_length(&format!("small-{number}"), SMALL_BYTES, 1));
    let crowd = Crowd::open(site.clients(SERVER), scripts);
    site.check_crowd(crowd).await;
}

/// Guards against a process that ends, or answers nobody, because it keeps many small bodies in chunks that
/// stop short.
#[tokio::test(flavor = "multi_thread")]
async fn small_chunked() {
    let mut site = Site::start(little_memory()).await;
    let scripts =
        (0..SMALL_BODIES).map(|number| in_chunks(&format!("small-{number}"), SMALL_BYTES / 8, 7));
    let crowd = Crowd::open(site.clients(SERVER), scripts);
    site.check_crowd(crowd).await;
}
