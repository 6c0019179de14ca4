//! The table that says how to call each service.

use std::fmt;
use std::net::SocketAddr;

use quetzalrack_core::document::spec::Method;
use quetzalrack_core::document::spec::RouteSpec;
use quetzalrack_testutils::environment::EnvironmentError;
use quetzalrack_testutils::environment::RunningEnvironment;
use uuid::Uuid;

/// The key used in every example.
const EXAMPLE_KEY: &str = "poster-1";

/// Lists, for each route, a node and the command that calls it there.
#[derive(Clone, Debug)]
pub struct ReadyTable {
    rows: Vec<Row>,
}

#[derive(Clone, Debug)]
struct Row {
    service: String,
    route: String,
    command: String,
}

impl ReadyTable {
    /// Makes the table of a running environment; each service is called at another node, since any
    /// node answers for all.
    pub fn of(environment: &RunningEnvironment) -> Result<Self, EnvironmentError> {
        let mut rows = Vec::new();
        let services = environment.plan.document.services.iter();
        for (service, host) in services.zip(environment.hosts.iter().cycle().step_by(5)) {
            let node = host.addresses()?.traffic;
            rows.extend(service.routes.iter().map(|route| Row {
                service: service.name.to_string(),
                route: route.name.to_string(),
                command: command(route, node),
            }));
        }
        Ok(Self { rows })
    }
}

fn command(route: &RouteSpec, node: SocketAddr) -> String {
    let path = route
        .path
        .replace("{key}", EXAMPLE_KEY)
        .replace("{any}", "any");
    let mut words = vec![String::from("curl -si")];
    if route.method != Method::Get {
        words.push(format!("-X {}", route.method));
    }
    if matches!(route.method, Method::Post | Method::Put) {
        words.push(String::from("-d example"));
    }
    if !route.repeatable {
        words.push(format!("-H 'idempotency-key: {}'", Uuid::now_v7()));
    }
    words.push(format!("http://{node}{path}"));
    words.join(" ")
}

impl fmt::Display for ReadyTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<16} {:<18} try", "service", "route")?;
        for row in &self.rows {
            writeln!(f, "{:<16} {:<18} {}", row.service, row.route, row.command)?;
        }
        Ok(())
    }
}
