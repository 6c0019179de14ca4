//! Many bodies far over the limit.

use crate::crowd::Crowd;
use crate::crowd::Framing;
use crate::crowd::SERVER;
use crate::crowd::Script;
use crate::crowd::Site;
use crate::crowd::block;
use crate::crowd::chunk;
use crate::crowd::head;
use crate::crowd::little_memory;

const BODIES: usize = 16;
/// What is announced, in bytes: far over any limit.
const ANNOUNCED: usize = 100_000_000_000;
/// How often a block is written of a body without end: ten times the limit.
const ENDLESS_BLOCKS: usize = 2_560;
/// A crowd whose announced bodies have little behind them.
const ANNOUNCED_BODIES: usize = 800;

/// Guards against a process that makes room for what is only announced.
#[tokio::test(flavor = "multi_thread")]
async fn announced_lengths() {
    let mut site = Site::start(little_memory()).await;
    let scripts = (0..ANNOUNCED_BODIES).map(|number| Script {
        start: head(&format!("announced-{number}"), Framing::Length(ANNOUNCED)).into(),
        piece: block(),
        pieces: 1,
        ..Script::default()
    });
    let crowd = Crowd::open(site.clients(SERVER), scripts);
    site.check_crowd(crowd).await;
}

/// Guards against a process that makes room for a chunk that is only announced.
#[tokio::test(flavor = "multi_thread")]
async fn announced_chunks() {
    let mut site = Site::start(little_memory()).await;
    let scripts = (0..ANNOUNCED_BODIES).map(|number| Script {
        start: head(&format!("announced-{number}"), Framing::Chunked).into(),
        piece: format!("{ANNOUNCED:x}\r\n").into(),
        pieces: 1,
        end: block(),
        ..Script::default()
    });
    let crowd = Crowd::open(site.clients(SERVER), scripts);
    site.check_crowd(crowd).await;
}

/// Guards against a process that reads bodies as far as the limit though their lengths are over it.
#[tokio::test(flavor = "multi_thread")]
async fn endless_lengths() {
    let mut site = Site::start(little_memory()).await;
    let scripts = (0..BODIES).map(|number| Script {
        start: head(&format!("endless-{number}"), Framing::Length(ANNOUNCED)).into(),
        piece: block(),
        pieces: ENDLESS_BLOCKS,
        ..Script::default()
    });
    let crowd = Crowd::open(site.clients(SERVER), scripts);
    site.check_crowd(crowd).await;
}

/// Guards against a process that ends because it reads many chunked bodies as far as the limit.
#[tokio::test(flavor = "multi_thread")]
async fn endless_chunks() {
    let mut site = Site::start(little_memory()).await;
    let scripts = (0..BODIES).map(|number| Script {
        start: head(&format!("endless-{number}"), Framing::Chunked).into(),
        piece: chunk(&block()).into(),
        pieces: ENDLESS_BLOCKS,
        ..Script::default()
    });
    let crowd = Crowd::open(site.clients(SERVER), scripts);
    site.check_crowd(crowd).await;
}
