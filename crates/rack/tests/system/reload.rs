//! Changes to the settings file of a running process.

use std::time::Duration;
use std::time::Instant;

use super::support::World;

const START: Duration = Duration::from_secs(30);

async fn wait_for(world: &World, event: &str, count: usize) -> serde_json::Value {
    let began = Instant::now();
    loop {
        let lines = world.lines(0, "event", event);
        if lines.len() >= count {
            return lines[count - 1].clone();
        }
        assert!(began.elapsed() < Duration::from_secs(8), "{lines:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// The file changes without a signal and then becomes unreadable. The process keeps its settings and logs
/// within seconds which fields differ or that the file can't be read; a signal makes it log that again.
#[tokio::test(flavor = "multi_thread")]
async fn changed_file() {
    let world = World::start(&["plain", "keyed"]).await;
    world.wait_until_served(START).await;
    world.change_settings(0, "drain = \"2000ms\"", "drain = \"2500ms\"");
    let line = wait_for(&world, "reload", 1).await;
    assert_eq!(
        (&line["changed"], &line["fields"]),
        (&true.into(), &"bounds".into())
    );
    world.send_sighup(0);
    wait_for(&world, "reload", 2).await;
    world.change_settings(0, "[self]", "[self");
    wait_for(&world, "reload_failed", 1).await;
    assert!(world.is_ready(0).await);
    world.wait_until_served(Duration::from_secs(5)).await;
}
