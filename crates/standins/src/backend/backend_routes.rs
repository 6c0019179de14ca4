//! The HTTP server of a backend server.

use std::net::SocketAddr;
use std::sync::Arc;

use rocket::Build;
use rocket::Rocket;
use rocket::Route;
use rocket::fairing::AdHoc;
use rocket::http::Method;

use super::BackendServer;
use super::ServerSettings;
use super::control_routes::control_routes;
use super::spawn_announcer;
use super::work_handler::WorkHandler;
use crate::process::web_server;

const WORKERS: usize = 2;
/// Ranks work after every control call.
const WORK_RANK: isize = 20;

/// Builds a backend server that announces itself once it takes connections.
pub fn backend_server(settings: ServerSettings) -> Rocket<Build> {
    let builder = web_server(settings.address, settings.port, WORKERS);
    let server = Arc::new(BackendServer::new(settings));
    let announcing = Arc::clone(&server);
    let routes: Vec<Route> = [Method::Get, Method::Post, Method::Put, Method::Delete]
        .into_iter()
        .map(|method| {
            let handler = WorkHandler::new(Arc::clone(&server));
            Route::ranked(WORK_RANK, method, "/<path..>", handler)
        })
        .collect();
    builder
        .manage(server)
        .mount("/", control_routes())
        .mount("/", routes)
        .attach(AdHoc::on_liftoff("announcer", move |rocket| {
            let config = rocket.config();
            let address = SocketAddr::new(config.address, config.port);
            Box::pin(async move { spawn_announcer(announcing, address) })
        }))
}
