//! Another writer sends one heartbeat that lacks fields, to the node beside a server that holds keys.
//!
//! The node takes it for the heartbeat of the server's next life, and says so to the leader. The leader takes the
//! running server for ended, and grants its keys to others at once, though it holds them for seconds.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;

use crate::deployment::Deployment;
use crate::server::Server;
use crate::watch;
use crate::watch::KEYS;

pub fn run(folder: &Path, trouble: bool) -> i32 {
    let services = [("catalog", true), ("catalog", true), ("catalog", true)];
    let mut deployment = Deployment::start(&services, Duration::from_millis(20));
    let code = play(&mut deployment, trouble);
    deployment.finish(folder);
    code
}

fn play(deployment: &mut Deployment, trouble: bool) -> i32 {
    let record = Arc::clone(&deployment.record);
    if !deployment.wait_until_served("/get-catalog/1", &KEYS, Duration::from_secs(20)) {
        record.note("the deployment did not start");
        return 2;
    }
    thread::sleep(Duration::from_millis(1_500));
    let servers: Vec<Server> =
        deployment.machines.iter().map(|machine| machine.server.clone()).collect();
    let server = servers[1].clone();
    let watched = watch::start(&servers, &record, Duration::from_secs(10));
    let clients = watch::start_clients(deployment, Duration::from_secs(8));
    thread::sleep(Duration::from_millis(500));
    watch::wait_for_beat(&server);
    if trouble {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap();
        // Without zone, version, cold_left and the two lists.
        let body = format!(
            "{{\"service\":\"catalog\",\"address\":\"{}\",\"slots\":9,\"state\":\"ready\",\
             \"sequence\":1,\"born\":{}}}",
            server.address,
            now.as_millis()
        );
        let head = "PUT /instances/i-other";
        let answer = server.deliver(head, &body);
        record.note(format!("another writer: {head} {body} -> {answer:?}"));
    }
    for client in clients {
        client.join().ok();
    }
    let overlap = watched.join().expect("the watch");
    watch::judge(deployment, &overlap)
}
