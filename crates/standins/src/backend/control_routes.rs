//! The control calls of a backend server.

use std::net::SocketAddr;
use std::sync::Arc;

use quetzalrack_core::boundary::GrantOrder;
use rocket::Route;
use rocket::State;
use rocket::http::ContentType;
use rocket::http::Status;
use rocket::serde::json::Json;
use tokio::time::sleep;

use super::BackendServer;
use super::ServerFaults;
use super::ServerTruth;

/// Returns the control calls.
pub(super) fn control_routes() -> Vec<Route> {
    rocket::routes![grant, cancel, health, load, get_faults, put_faults, truth]
}

#[rocket::post("/control/grants", data = "<order>")]
async fn grant(
    order: Json<GrantOrder>,
    sender: SocketAddr,
    server: &State<Arc<BackendServer>>,
) -> (Status, (ContentType, String)) {
    thawed(server).await;
    match server.take_grant(&order, Some(sender)) {
        Ok(()) => (Status::Ok, (ContentType::JSON, String::from("{}"))),
        Err(fence) => {
            let body = serde_json::json!({ "fence": fence }).to_string();
            (Status::Conflict, (ContentType::JSON, body))
        }
    }
}

#[rocket::post("/control/cancellations/<attempt>")]
async fn cancel(attempt: &str, server: &State<Arc<BackendServer>>) -> Status {
    thawed(server).await;
    match attempt.parse() {
        Ok(attempt) => {
            server.cancel(attempt);
            Status::Accepted
        }
        Err(_) => Status::BadRequest,
    }
}

#[rocket::get("/control/health")]
async fn health(server: &State<Arc<BackendServer>>) -> (ContentType, String) {
    probe(server).await
}

#[rocket::get("/control/load")]
async fn load(server: &State<Arc<BackendServer>>) -> (ContentType, String) {
    probe(server).await
}

#[rocket::get("/faults")]
fn get_faults(server: &State<Arc<BackendServer>>) -> Json<ServerFaults> {
    Json(server.faults())
}

#[rocket::put("/faults", data = "<faults>")]
fn put_faults(faults: Json<ServerFaults>, server: &State<Arc<BackendServer>>) -> Status {
    server.set_faults(faults.into_inner());
    Status::NoContent
}

#[rocket::get("/truth?<from>")]
fn truth(from: Option<usize>, server: &State<Arc<BackendServer>>) -> Json<ServerTruth> {
    Json(server.truth(from.unwrap_or(0)))
}

async fn probe(server: &BackendServer) -> (ContentType, String) {
    thawed(server).await;
    sleep(server.settings.probe_cost_ms.as_duration()).await;
    server.count_probe();
    let told = server.announcement(SocketAddr::new(server.settings.address, 0));
    let body = serde_json::json!({
        "state": told.state,
        "reported_load": told.reported_load,
    });
    (ContentType::JSON, body.to_string())
}

async fn thawed(server: &BackendServer) {
    loop {
        let changed = server.changed();
        if !server.faults().frozen {
            return;
        }
        changed.await;
    }
}
