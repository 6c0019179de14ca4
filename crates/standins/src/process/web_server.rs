//! The HTTP server of a stand-in.

use std::net::IpAddr;
use std::net::SocketAddr;

use rocket::Build;
use rocket::Config;
use rocket::Rocket;
use rocket::config::LogLevel;
use rocket::config::Shutdown;
use rocket::data::ByteUnit;
use rocket::data::Limits;
use rocket::fairing::AdHoc;

use super::ListeningLine;

/// How long a stand-in that was asked to leave finishes its requests, in seconds.
const GRACE_S: u32 = 5;

/// The greatest body taken: a record of the log carries a whole document or the state of a cell.
const LARGEST_BODY: ByteUnit = ByteUnit::Mebibyte(16);

/// Builds a silent server that prints the `listening` line once it takes connections.
pub fn web_server(address: IpAddr, port: u16, workers: usize) -> Rocket<Build> {
    let config = Config {
        address,
        port,
        workers,
        log_level: LogLevel::Off,
        cli_colors: false,
        keep_alive: 60,
        limits: Limits::new()
            .limit("string", LARGEST_BODY)
            .limit("json", LARGEST_BODY),
        shutdown: Shutdown {
            grace: GRACE_S,
            mercy: 1,
            ..Shutdown::default()
        },
        ..Config::release_default()
    };
    rocket::custom(config).attach(AdHoc::on_liftoff("listening", |rocket| {
        Box::pin(async move {
            let config = rocket.config();
            ListeningLine::new(SocketAddr::new(config.address, config.port)).print();
        })
    }))
}
