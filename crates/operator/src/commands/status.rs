//! The command `status`.

use std::time::Duration;
use std::time::Instant;

use quetzalrack_core::intent::Order;
use tokio::time::sleep;

use super::Exit;
use super::Report;
use super::Session;
use crate::nodes::FleetStatus;
use crate::nodes::NodeState;
use crate::text::MessageCode;
use crate::text::order_text;
use crate::text::shortened;

/// How often nodes are asked while waiting.
const PAUSE: Duration = Duration::from_millis(500);

/// Shows what is in force at each node, waiting until it is the newest everywhere.
pub(super) async fn run(session: &mut Session, wait: Duration) -> Report {
    let Some(node) = session.node.clone() else {
        return session.report(Exit::BadInput, MessageCode::NodeNeeded, &[]);
    };
    // The log may be down; the nodes then still tell what they have.
    let _ = session.desk.refresh().await;
    let until = Instant::now() + wait;
    loop {
        let fleet = match FleetStatus::read(&*session.nodes, &node, session.desk.state()).await {
            Ok(fleet) => fleet,
            Err(error) => {
                let values: [&str; 2] = [&node, &error.to_string()];
                return session.report(Exit::Unknown, MessageCode::NodeDown, &values);
            }
        };
        if fleet.is_everywhere() || Instant::now() >= until {
            return describe(session, &fleet);
        }
        progress(session, &fleet);
        sleep(PAUSE).await;
        let _ = session.desk.refresh().await;
    }
}

fn progress(session: &Session, fleet: &FleetStatus) {
    let all = fleet.nodes.len();
    let there = all - fleet.behind().count();
    let values: [&str; 3] = [
        &fleet.newest.to_string(),
        &there.to_string(),
        &all.to_string(),
    ];
    eprintln!("{}", session.say(MessageCode::Waiting, &values));
}

fn describe(session: &Session, fleet: &FleetStatus) -> Report {
    let exit = match fleet.is_everywhere() {
        true => Exit::Done,
        false => Exit::NotEverywhere,
    };
    if session.json {
        return Report::json(exit, fleet);
    }
    let mut lines: Vec<_> = fleet.nodes.iter().map(node_line).collect();
    lines.extend(out_lines(session, fleet));
    lines.extend(missing_lines(session, fleet));
    let all = fleet.nodes.len().to_string();
    let newest = fleet.newest.to_string();
    if fleet.is_everywhere() {
        lines.push(session.say(MessageCode::Everywhere, &[&newest, &all]));
        return Report { exit, lines };
    }
    let behind = fleet.behind().count().to_string();
    lines.push(session.say(MessageCode::NotEverywhere, &[&newest, &behind, &all]));
    lines.extend(fleet.behind().map(|node| lag(session, node)));
    Report { exit, lines }
}

fn node_line(node: &NodeState) -> String {
    let (name, zone) = (&node.node, &node.zone);
    let Some(status) = &node.status else {
        return format!("{name:<24} {zone:<14} -");
    };
    let intent = status.intent.as_ref().map(|intent| {
        let digest = shortened(intent.digest);
        let age = intent.age_ms / 1_000;
        format!("{:>6} {digest} {age:>6} s", intent.version)
    });
    let controller = status.controller.as_ref().is_some_and(|c| c.here);
    let mark = if controller { "*" } else { " " };
    let server = status
        .server
        .as_ref()
        .map(|server| server.server.to_string());
    let intent = intent.unwrap_or_else(|| "     -".to_owned());
    let server = server.unwrap_or_else(|| "-".to_owned());
    let leases = status.leases.len();
    format!("{name:<24} {zone:<14}{mark}{intent} {leases:>4} {server}")
}

/// Lists what is out of service at any node, visible as soon as one knows it, with who wanted it
/// and why where the log tells.
fn out_lines(session: &Session, fleet: &FleetStatus) -> Vec<String> {
    let newest = fleet.nodes.iter().max_by_key(|node| node.version());
    let status = newest.and_then(|node| node.status.as_ref());
    let Some((status, intent)) = status.and_then(|status| Some((status, status.intent.as_ref()?)))
    else {
        return Vec::new();
    };
    let stage = status.stage;
    let zones = intent.zones_out.iter().cloned();
    let zones = zones.map(|zone| Order::ZoneOut { stage, zone });
    let servers = intent.servers_out.iter().cloned();
    let servers = servers.map(|server| Order::ServerOut { stage, server });
    let orders = zones.chain(servers);
    orders.map(|order| out_line(session, &order)).collect()
}

fn out_line(session: &Session, order: &Order) -> String {
    let text = order_text(order);
    let history = session.desk.state().stage(order.stage()).history();
    let given = history.iter().rev().find(|kept| kept.body.order == *order);
    match given {
        Some(given) => format!("{text} ({}: {})", given.body.operator, given.body.why),
        None => text,
    }
}

/// Names services of which fewer nodes are known than the document means to run.
///
/// There is no list of hosts to compare with: a node that the asked one has not heard of would
/// otherwise be missing from "everywhere" without a word.
fn missing_lines(session: &Session, fleet: &FleetStatus) -> Vec<String> {
    let mut answers = fleet.nodes.iter().filter_map(|node| node.status.as_ref());
    let stage = answers.next().map(|status| status.stage);
    let document = stage.and_then(|stage| session.desk.state().document_of(stage));
    let mut lines = Vec::new();
    for service in document.iter().flat_map(|document| &document.services) {
        let known = fleet.nodes.iter();
        let known = known.filter(|node| node.service.as_ref() == Some(&service.name));
        let known = known.count();
        if known < service.servers as usize {
            let values: [&str; 3] = [
                service.name.as_str(),
                &known.to_string(),
                &service.servers.to_string(),
            ];
            lines.push(session.say(MessageCode::FewServers, &values));
        }
    }
    lines
}

fn lag(session: &Session, node: &NodeState) -> String {
    let name = node.node.to_string();
    let version = node
        .version()
        .map_or("-".to_owned(), |version| version.to_string());
    match &node.status {
        None => session.say(MessageCode::LagUnreachable, &[&name]),
        Some(status) if !status.log_reachable => {
            session.say(MessageCode::LagNoLog, &[&name, &version])
        }
        Some(_) => session.say(MessageCode::LagBehind, &[&name, &version]),
    }
}
