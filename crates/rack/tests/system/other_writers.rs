//! Entries of another writer among the heartbeats of a server.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use reqwest::StatusCode;
use serde_json::Value;
use serde_json::json;

use super::support::World;

const START: Duration = Duration::from_secs(30);
/// How long after an entry requests are sent: two heartbeats of a server, and the time until its keys would
/// have moved.
const WATCH: Duration = Duration::from_millis(700);
/// The incarnation of the odd entries starts this much later than now.
const AHEAD_MS: u64 = 100_000_000;

/// Returns heartbeats that differ from those of the server in one field each.
fn odd_entries(address: &str, now_ms: u64) -> Vec<(&'static str, Value)> {
    let entry = |service: &str| {
        json!({"service": service, "address": address, "zone": "zone", "version": "v1", "slots": 10,
            "state": "ready", "cold_left": "0ms", "sequence": 1, "born": now_ms, "holds": [], "freed": []})
    };
    let nested = (0..100).fold(json!([]), |inner, _| json!([inner]));
    let fields = [
        ("address", json!("127.0.0.1:0")),
        ("address", json!("127.0.0.1:9")),
        ("address", json!("127.0.0.1:70000")),
        ("slots", json!(0)),
        ("slots", json!(4_294_967_295_u64)),
        ("cold_left", json!("1e15s")),
        ("born", json!(now_ms + AHEAD_MS)),
        ("born", json!(u64::MAX)),
        ("sequence", json!(u64::MAX)),
        ("zone", json!(7)),
        ("state", json!("gone")),
        ("service", json!("unnamed")),
        ("holds", json!([[0, 65_535, u64::MAX]])),
        ("freed", json!([[0, 65_535, "x".repeat(100_000)]])),
        ("holds", nested),
    ];
    fields
        .into_iter()
        .map(|(field, value)| {
            let mut entry = entry("keyed");
            entry[field] = value;
            (field, entry)
        })
        .collect()
}

/// Guards against servers that lose their keys or their requests, and processes that end, by one odd entry of
/// another writer at the node beside them.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_ignored() {
    let mut world = World::start(&["keyed", "keyed", "plain"]).await;
    world.wait_until_served(START).await;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let now_ms = u64::try_from(now.as_millis()).unwrap();
    let (control, address) = world.hosts[0].server.addresses();
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    for (number, (field, entry)) in odd_entries(&address, now_ms).into_iter().enumerate() {
        let shown: String = entry[field].to_string().chars().take(40).collect();
        let url = format!("http://{control}/instances/i-other-{number}");
        http.put(url).json(&entry).send().await.unwrap();
        let end = tokio::time::Instant::now() + WATCH;
        while tokio::time::Instant::now() < end {
            for key in [0_u16, 13_000, 30_000, 47_000, 65_535] {
                let id = format!("odd-{number}-{key}");
                let response = world.request(1, &id, "/keyed/1", Some(key)).await;
                assert_eq!(response.status, Some(StatusCode::OK), "{field} {shown}");
            }
        }
    }
    assert!(!world.hosts[0].has_ended());
    assert!(world.hosts[0].server.keys() > 0, "the server lost its keys");
}

/// Guards against a process that grows with the body of a call until it is killed.
#[tokio::test(flavor = "multi_thread")]
async fn endless_body() {
    let world = World::start(&["keyed", "plain"]).await;
    world.wait_until_served(START).await;
    let (control, _) = world.hosts[0].server.addresses();
    let before = world.hosts[0].process().peak_memory();
    let chunks = futures::stream::repeat_with(|| Ok::<_, std::io::Error>(vec![b'['; 64 * 1_024]));
    let body = reqwest::Body::wrap_stream(futures::StreamExt::take(chunks, 1_600));
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let url = format!("http://{control}/instances/i-other");
    // The connection may be closed before the body has been written.
    http.put(url).body(body).send().await.ok();
    let grown = world.hosts[0]
        .process()
        .peak_memory()
        .saturating_sub(before);
    assert!(grown < 16 * 1_024 * 1_024, "{grown} bytes more");
}
