//! The HTTP server of the admin port.

use std::io;
use std::net::SocketAddr;

use rocket::Config;
use rocket::data::ByteUnit;
use rocket::data::Limits;
use rocket::fairing::AdHoc;
use rocket::log::LogLevel;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use super::AdminState;
use super::RunningAdmin;
use super::announcement_route;
use super::read_routes;

/// Maximum size of an announcement's body; a usual one has a few hundred bytes.
const MAX_BODY: ByteUnit = ByteUnit::Kibibyte(16);

/// Serves operators and receives announcements.
pub struct AdminServer;

impl AdminServer {
    /// Binds `address` and serves on the current tokio runtime.
    pub async fn bind(state: AdminState, address: SocketAddr) -> io::Result<RunningAdmin> {
        let (sender, receiver) = oneshot::channel();
        let bound_sender = std::sync::Mutex::new(Some(sender));
        let liftoff = AdHoc::on_liftoff("bound", move |rocket| {
            Box::pin(async move {
                let sender = bound_sender
                    .lock()
                    .ok()
                    .and_then(|mut sender| sender.take());
                let bound = SocketAddr::new(rocket.config().address, rocket.config().port);
                if let Some(sender) = sender {
                    let _ = sender.send((bound, rocket.shutdown()));
                }
            })
        });
        let routes = rocket::routes![
            announcement_route::announce,
            read_routes::health,
            read_routes::status,
            read_routes::routing,
            read_routes::explanations,
            read_routes::service_level,
        ];
        let server = rocket::custom(config(address))
            .manage(state)
            .mount("/", routes)
            .attach(liftoff);
        let running = tokio::spawn(server.launch());
        match receiver.await {
            Ok((address, shutdown)) => Ok(RunningAdmin { address, shutdown }),
            Err(_) => Err(launch_error(running).await),
        }
    }
}

fn config(address: SocketAddr) -> Config {
    let limits = Limits::new()
        .limit("json", MAX_BODY)
        .limit("string", MAX_BODY);
    Config {
        address: address.ip(),
        port: address.port(),
        limits,
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown: rocket::config::Shutdown {
            ctrlc: false,
            signals: Default::default(),
            ..Default::default()
        },
        ..Config::release_default()
    }
}

type LaunchResult = Result<rocket::Rocket<rocket::Ignite>, rocket::Error>;

async fn launch_error(running: JoinHandle<LaunchResult>) -> io::Error {
    match running.await {
        Ok(Err(error)) => match error.kind() {
            rocket::error::ErrorKind::Bind(cause) => {
                io::Error::new(cause.kind(), cause.to_string())
            }
            kind => io::Error::other(kind.to_string()),
        },
        _ => io::Error::other("the admin server stopped before its port was bound"),
    }
}
