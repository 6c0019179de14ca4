//! A small deployment on loopback addresses: a store, and hosts with a server and a router each.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use crate::clients::Outcomes;
use crate::clients::Request;
use crate::host::Host;
use crate::record::Record;
use crate::server::Plan;
use crate::server::Server;
use crate::store::Store;

/// A service of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    pub name: &'static str,
    pub servers: usize,
    pub keyed: bool,
    pub slots: usize,
    pub work: Duration,
}

/// A running deployment; dropping it ends its processes.
pub struct World {
    pub store: Store,
    pub hosts: Vec<Host>,
    pub servers: Vec<Server>,
    pub outcomes: Outcomes,
    pub record: Record,
    services: Vec<Service>,
    folder: PathBuf,
}

impl World {
    /// Prepares the deployment: the store answers, the servers send heartbeats, no router runs.
    pub fn prepare(services: &[Service], record: &Record) -> io::Result<Self> {
        let folder =
            std::env::temp_dir().join(format!("quetzalrack-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let subnet = free_subnet()?;
        let store_address = SocketAddr::new(format!("{subnet}.200").parse().unwrap(), 8_309);
        let store = Store::start(store_address, record.clone())?;
        let mut world = Self {
            store,
            hosts: Vec::new(),
            servers: Vec::new(),
            outcomes: Outcomes::default(),
            record: record.clone(),
            services: services.to_vec(),
            folder,
        };
        world.store.write("config", &world.config(1, &[]));
        for service in services {
            for _ in 0..service.servers {
                let index = world.hosts.len();
                let host = Host::new(
                    &world.folder,
                    &subnet,
                    index,
                    service.name,
                    store_address,
                    record.clone(),
                )?;
                let plan = Plan {
                    id: format!("i-{index}"),
                    service: service.name.to_owned(),
                    zone: host.zone.clone(),
                    keyed: service.keyed,
                    slots: service.slots,
                    work: service.work,
                    address: host.server(),
                    control: host.control(),
                };
                world.servers.push(Server::start(plan, record.clone())?);
                world.hosts.push(host);
            }
        }
        Ok(world)
    }

    /// Returns a configuration with a route for each service, and further ones to the services named. Requests on
    /// a route whose name begins with `order` may run once only.
    pub fn config(&self, version: u64, added: &[(&str, &str)]) -> String {
        let first = self
            .services
            .iter()
            .map(|service| (service.name, service.name));
        let routes = first.chain(added.iter().copied()).map(|(route, service)| {
            let kind = if route.starts_with("order") { "non_idempotent" } else { "idempotent" };
            format!(
                r#"{{"resource_type":"routes","metadata":{{"name":"route-{route}"}},"spec":{{"host":"shop.example","path_prefix":"/{route}/","kind":"{kind}","timeout":"1500ms","target_latency":"400ms","priority":1,"service":"{service}","max_attempts":2}}}}"#
            )
        });
        let services = self.services.iter().map(|service| {
            let (name, keyed) = (service.name, service.keyed);
            format!(
                r#"{{"resource_type":"services","metadata":{{"name":"{name}"}},"spec":{{"health_path":"/healthz","max_connections":130,"protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":25.0,"sharded":{keyed},"warm":"2s"}}}}"#
            )
        });
        let limits = r#"{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}"#;
        let mut resources: Vec<String> = routes.chain(services).collect();
        resources.push(limits.to_owned());
        format!(
            r#"{{"version":"r{version}","resources":[{}]}}"#,
            resources.join(",")
        )
    }

    /// Starts all routers, in less than 0.3 s.
    pub fn start_all(&mut self) -> io::Result<()> {
        self.hosts.iter_mut().try_for_each(Host::start)
    }

    /// Waits until all routers are ready; returns whether they are in time.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.hosts.iter().all(Host::is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Starts the server of a host again, under its id.
    pub fn restart_server(&mut self, index: usize) -> io::Result<()> {
        let plan = self.servers[index].plan().clone();
        self.record.line(&format!("{} starts again", plan.id));
        self.servers[index] = Server::start(plan, self.record.clone())?;
        Ok(())
    }

    /// Sends a request from a client on a host.
    pub fn send(&self, host: usize, request: Request) {
        self.outcomes
            .send(self.hosts[host].clients(), request, &self.record);
    }

    /// Returns the index of the host whose router logged an event last, if any did.
    pub fn last_host_that_logged(&self, text: &str) -> Option<usize> {
        let time = |host: &Host| {
            let log = fs::read_to_string(host.log()).unwrap_or_default();
            let line = log.lines().rfind(|line| line.contains(text))?;
            let at = line.split("\"at\":").nth(1)?.split(',').next()?;
            at.parse::<f64>().ok()
        };
        let times = self.hosts.iter().map(time).enumerate();
        let logged = times.filter_map(|(index, time)| Some((index, time?)));
        let last = logged.max_by(|(_, a), (_, b)| a.total_cmp(b));
        last.map(|(index, _)| index)
    }

    /// Returns how many log lines of all routers hold a text.
    pub fn count_logged(&self, text: &str) -> usize {
        let logs = self
            .hosts
            .iter()
            .map(|host| fs::read_to_string(host.log()).unwrap_or_default());
        logs.map(|log| log.matches(text).count()).sum()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.hosts.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            fs::remove_dir_all(&self.folder).ok();
        }
    }
}

/// Returns the first three bytes of loopback addresses that nobody uses.
fn free_subnet() -> io::Result<String> {
    let start = std::process::id() % 250;
    for offset in 0..250 {
        let subnet = format!("127.{}.77", 1 + (start + offset) % 250);
        if TcpListener::bind(format!("{subnet}.200:8309")).is_ok() {
            return Ok(subnet);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
