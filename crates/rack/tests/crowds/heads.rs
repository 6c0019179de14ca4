//! Heads that stop short, and bytes behind requests that are at work.

use std::time::Duration;

use crate::crowd::Crowd;
use crate::crowd::ENTRY;
use crate::crowd::OTHER;
use crate::crowd::SERVER;
use crate::crowd::Script;
use crate::crowd::Site;
use crate::crowd::little_memory;

const CONNECTIONS: usize = 1_600;
/// Length of a head that stops short of its end, within the limit.
const HEAD_BYTES: usize = 16_000;
/// A crowd whose further requests are over the memory of the process.
const PIPELINES: usize = 600;
const PIPELINED_BYTES: usize = 300_000;
/// How long servers of keys work on a request: longer than the crowd stays.
const SLOW: Duration = Duration::from_secs(300);

/// Guards against a process that ends because it keeps many heads that stop short.
#[tokio::test(flavor = "multi_thread")]
async fn partial_heads() {
    let mut site = Site::start(little_memory()).await;
    let start = "POST /once/1 HTTP/1.1\r\nHost: shop.example\r\nX-Long: ";
    let head = format!("{start}{}", "a".repeat(HEAD_BYTES - start.len()));
    let scripts = (0..CONNECTIONS).map(|_| Script {
        start: head.clone().into(),
        ..Script::default()
    });
    let crowd = Crowd::open(site.clients(SERVER), scripts);
    site.check_crowd(crowd).await;
}

/// Guards against a process that ends because it reads ahead on many connections whose first request is at
/// work.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_bytes() {
    let mut site = Site::start(little_memory()).await;
    for host in [ENTRY, OTHER] {
        site.world.hosts[host].server.set_service_time(SLOW);
    }
    site.asks_keyed = false;
    let scripts = (0..PIPELINES).map(|number| {
        let request = |number: String| {
            format!(
                "GET /keyed/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {number}\r\nX-Deadline-Ms: 120000\r\n\r\n"
            )
        };
        let mut text = String::new();
        for behind in 0.. {
            if text.len() >= PIPELINED_BYTES {
                break;
            }
            text.push_str(&request(format!("behind-{number}-{behind}")));
        }
        Script {
            start: text.into(),
            ..Script::default()
        }
    });
    let crowd = Crowd::open(site.clients(SERVER), scripts);
    site.check_crowd(crowd).await;
}
