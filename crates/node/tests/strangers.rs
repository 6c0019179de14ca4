//! Strangers reach nothing at a node's ports.
#![allow(clippy::unwrap_used)]

mod support;

use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::rpc_params;
use quetzalrack_core::boundary::Clock;
use quetzalrack_core::ownership::PeerMessage;
use quetzalrack_core::security::KeyRing;
use quetzalrack_core::security::KeySettings;
use quetzalrack_core::time::WallTime;
use quetzalrack_node::RunningNode;
use quetzalrack_node::calls::CallClient;
use quetzalrack_node::platform::BootClock;
use quetzalrack_node::platform::KeyStore;
use quetzalrack_node::settings::NodeSettings;
use quetzalrack_node::shared::Handover;
use quetzalrack_node::shared::HandoverLink;
use quetzalrack_testutils::poll::poll_until;
use quetzalrack_wire::access::AccessProof;
use quetzalrack_wire::access::HEADER;
use quetzalrack_wire::calls;
use quetzalrack_wire::calls::SealedCall;
use quetzalrack_wire::datagram::seal_datagram;
use reqwest::StatusCode;
use support::MemoryLog;
use support::keys;
use support::settings;
use support::spawn_node;
use support::status_of;

fn strange_keys() -> KeyRing {
    let key = KeySettings {
        id: "k1".to_owned(),
        secret: "ff".repeat(16),
    };
    KeyRing::open(&[key]).unwrap()
}

fn start() -> RunningNode {
    let log = Arc::new(MemoryLog::default());
    spawn_node(settings("node-1", "suba", &[]), &log)
}

#[tokio::test(flavor = "multi_thread")]
async fn strange_datagram() {
    // A stranger tells a node that the controller resigns. A node that believed it would let the
    // next deputy take over at the stranger's wish.
    let node = start();
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let message = PeerMessage::Resign(Default::default());
    let sealed = seal_datagram(&message, &strange_keys()).unwrap();
    socket.send_to(&sealed, node.member().heartbeat).unwrap();
    socket.send_to(b"garbage", node.member().heartbeat).unwrap();
    let counted = poll_until(Duration::from_secs(5), || async {
        let cost = status_of(&node).await.cost;
        (cost.datagrams_in == 2).then_some(cost.datagrams_refused)
    });
    assert_eq!(counted.await, Some(2));
}

#[tokio::test(flavor = "multi_thread")]
async fn strange_call() {
    let node = start();
    let url = format!("http://{}", node.member().control);
    let client = HttpClientBuilder::default().build(url).unwrap();
    let known = SealedCall::seal(calls::MEMBER, &(), &keys()).unwrap();
    let strange = SealedCall::seal(calls::MEMBER, &(), &strange_keys()).unwrap();
    let refused = client.request::<SealedCall, _>(calls::MEMBER, rpc_params![&strange]);
    assert_matches!(refused.await, Err(_));
    let other = client.request::<SealedCall, _>(calls::HANDOVER, rpc_params![&known]);
    assert_matches!(other.await, Err(_));
    let taken = client.request::<SealedCall, _>(calls::MEMBER, rpc_params![&known]);
    assert_matches!(taken.await, Ok(_));
}

#[tokio::test(flavor = "multi_thread")]
async fn guarded_reads() {
    let mut guarded = settings("node-1", "suba", &[]);
    guarded.guard_reads = true;
    let node = spawn_node(guarded, &Arc::new(MemoryLog::default()));
    let now = wall();
    let stale = WallTime(now.0 - 120_000);
    let cases = [
        (None, StatusCode::UNAUTHORIZED),
        (
            Some(AccessProof::make("/status", now, &strange_keys())),
            StatusCode::UNAUTHORIZED,
        ),
        (
            Some(AccessProof::make("/routing", now, &keys())),
            StatusCode::UNAUTHORIZED,
        ),
        (
            Some(AccessProof::make("/status", stale, &keys())),
            StatusCode::UNAUTHORIZED,
        ),
        (
            Some(AccessProof::make("/status", now, &keys())),
            StatusCode::OK,
        ),
    ];
    for (proof, wanted) in cases {
        let url = format!("http://{}/status", node.listening().admin);
        let mut request = reqwest::Client::new().get(url);
        if let Some(proof) = proof {
            request = request.header(HEADER, proof.to_header().unwrap());
        }
        assert_eq!(request.send().await.unwrap().status(), wanted);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn large_announcement() {
    let node = start();
    let url = format!("http://{}/announcements", node.listening().admin);
    let body = format!("{{\"service\": \"{}\"}}", "x".repeat(100_000));
    let request = reqwest::Client::new().post(url).body(body);
    let status = request
        .header("content-type", "application/json")
        .send()
        .await
        .unwrap()
        .status();
    assert!(status.is_client_error(), "{status}");
}

fn wall() -> WallTime {
    BootClock.wall()
}

#[tokio::test(flavor = "multi_thread")]
async fn handover_confirmed() {
    // A slice moves, and its memory of finished work goes with it. Only a confirmed handover lets
    // the next holder recognise a repeat; one from a stranger could make it forget.
    let node = start();
    let handover = Handover {
        slice: "order-book/3".parse().unwrap(),
        fence: "1.0.7".parse().unwrap(),
        state: Vec::new(),
    };
    let known = CallClient::new(key_store(&settings("node-2", "suba", &[])));
    assert!(known.hand_over(node.member(), handover.clone()).await);
    let mut strange = settings("node-3", "suba", &[]);
    strange.node_keys[0].secret = "ff".repeat(16);
    let strange = CallClient::new(key_store(&strange));
    assert!(!strange.hand_over(node.member(), handover).await);
}

fn key_store(settings: &NodeSettings) -> Arc<KeyStore> {
    Arc::new(KeyStore::open(settings).unwrap())
}
