//! Bodies that reach one process through others.

use std::time::Duration;

use crate::crowd::Crowd;
use crate::crowd::ENTRY;
use crate::crowd::OTHER;
use crate::crowd::SERVER;
use crate::crowd::Site;
use crate::crowd::little_memory;
use crate::crowd::with_length;

/// How many bodies enter at each of two hosts.
const BODIES: usize = 10;
/// How long the server works, so that the bodies of all requests are held at once.
const SERVICE_TIME: Duration = Duration::from_secs(3);
/// Guard against a crowd that is never answered.
const ANSWER_GUARD: Duration = Duration::from_secs(120);

/// Guards against a process that ends because it keeps all bodies that others pass on to it.
#[tokio::test(flavor = "multi_thread")]
async fn hop_bodies() {
    let mut site = Site::start(little_memory()).await;
    site.world.hosts[SERVER]
        .server
        .set_service_time(SERVICE_TIME);
    let bytes = site.limits.body_bytes;
    let scripts = |host: usize| {
        (0..BODIES).map(move |number| with_length(&format!("hop-{host}-{number}"), bytes, 0))
    };
    let mut crowd = Crowd::open(site.clients(ENTRY), scripts(ENTRY));
    crowd.join(site.clients(OTHER), scripts(OTHER));
    crowd.settle().await;
    crowd.wait_for_answers(ANSWER_GUARD).await;
    site.world.hosts[SERVER]
        .server
        .set_service_time(Duration::ZERO);
    site.check_crowd(crowd).await;
}
