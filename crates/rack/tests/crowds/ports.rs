//! Crowds at the ports that aren't for clients.

use std::net::SocketAddr;

use crate::crowd::Crowd;
use crate::crowd::SERVER;
use crate::crowd::Script;
use crate::crowd::Site;
use crate::crowd::block;
use crate::crowd::few_descriptors;
use crate::crowd::little_memory;
use crate::support::World;

/// Three times the sockets that a process may have.
const CONNECTIONS: usize = 600;
/// A crowd whose bodies are two and a half times the memory of the process.
const BODIES: usize = 16;
/// Longest body of a heartbeat that is read.
const BEAT_BYTES: usize = 256 * 1024;
const BEATS: usize = 600;

fn control(world: &World) -> SocketAddr {
    world.hosts[SERVER].control()
}

fn readiness(world: &World) -> SocketAddr {
    world.hosts[SERVER].readiness()
}

fn peers(world: &World) -> SocketAddr {
    world.hosts[SERVER].hops()
}

fn metrics(world: &World) -> SocketAddr {
    world.hosts[SERVER].metrics()
}

/// Checks beside connections of which half have written a part of a head.
async fn check_connections(port: fn(&World) -> SocketAddr) {
    let mut site = Site::start(few_descriptors()).await;
    let scripts = (0..CONNECTIONS).map(|number| Script {
        start: ["", "GET /any HTTP/1.1\r\nHost: "][number % 2].into(),
        ..Script::default()
    });
    let crowd = Crowd::open(port(&site.world), scripts);
    site.check_crowd(crowd).await;
}

/// Checks beside bodies that stop a byte short of their end.
async fn check_bodies(port: fn(&World) -> SocketAddr, bodies: usize, bytes: usize) {
    let mut site = Site::start(little_memory()).await;
    let block = block();
    let scripts = (0..bodies).map(|_| Script {
        start: format!(
            "PUT /instances/other HTTP/1.1\r\nHost: node\r\nContent-Length: {bytes}\r\n\r\n"
        )
        .into(),
        piece: block.clone(),
        pieces: (bytes - 1) / block.len(),
        end: block.slice(..(bytes - 1) % block.len()),
        reads: true,
    });
    let crowd = Crowd::open(port(&site.world), scripts);
    site.check_crowd(crowd).await;
}

/// Guards against connections at the heartbeats' port that take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn beat_connections() {
    check_connections(control).await;
}

/// Guards against connections at the readiness port that take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn readiness_connections() {
    check_connections(readiness).await;
}

/// Guards against connections at the port for other nodes that take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn peer_connections() {
    check_connections(peers).await;
}

/// Guards against connections at the metrics' port that take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_connections() {
    check_connections(metrics).await;
}

/// Guards against a process that ends because it keeps many bodies of heartbeats that stop short.
#[tokio::test(flavor = "multi_thread")]
async fn beat_bodies() {
    check_bodies(control, BEATS, BEAT_BYTES).await;
}

/// Guards against a process that keeps bodies at its readiness port.
#[tokio::test(flavor = "multi_thread")]
async fn readiness_bodies() {
    check_bodies(readiness, BODIES, little_memory().body_bytes).await;
}

/// Guards against a process that ends because it keeps bodies that stop short at the port for other nodes.
#[tokio::test(flavor = "multi_thread")]
async fn peer_bodies() {
    check_bodies(peers, BODIES, little_memory().body_bytes).await;
}

/// Guards against a process that keeps bodies at its metrics' port.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_bodies() {
    check_bodies(metrics, BODIES, little_memory().body_bytes).await;
}
