//! The commands `zone` and `server`.

use quetzalrack_core::ids::ServerName;
use quetzalrack_core::ids::ZoneName;
use quetzalrack_core::intent::Order;
use quetzalrack_core::intent::Rejection;
use quetzalrack_core::intent::Stage;

use super::Exit;
use super::Report;
use super::Session;
use super::verdict_text;
use crate::arguments::Direction;
use crate::arguments::ServiceOrder;
use crate::desk::OrderDraft;
use crate::desk::Verdict;
use crate::text::MessageCode;
use crate::text::order_text;

/// How often an order is given again on a newer base before its operator is asked.
const MOST_ROUNDS: usize = 32;

/// Takes an availability zone out of service or back.
pub(super) async fn zone(session: &mut Session, line: ServiceOrder) -> Report {
    let zone: ZoneName = match line.name.parse() {
        Ok(zone) => zone,
        Err(_) => return unknown_zone(session, &line),
    };
    if let Err(report) = session.refresh().await {
        return report;
    }
    let stage = line.stage;
    let state = session.desk.state().stage(stage);
    let document = session.desk.state().document_of(stage);
    let Some(document) = document else {
        let values: [&str; 1] = [&stage.to_string()];
        return session.report(Exit::Rejected, MessageCode::NothingInForce, &values);
    };
    if !document.zones.contains(&zone) && !state.zones_out().contains(&zone) {
        return unknown_zone(session, &line);
    }
    let order = match line.direction {
        Direction::Out => Order::ZoneOut { stage, zone },
        Direction::In => Order::ZoneIn { stage, zone },
    };
    give(session, order, line.why).await
}

/// Takes a backend server out of service or back.
pub(super) async fn server(session: &mut Session, line: ServiceOrder) -> Report {
    let server: ServerName = match line.name.parse() {
        Ok(server) => server,
        Err(_) => {
            let values: [&str; 1] = [&format!("{:?}", line.name)];
            return session.report(Exit::BadInput, MessageCode::BadName, &values);
        }
    };
    if let Err(report) = session.refresh().await {
        return report;
    }
    let stage = line.stage;
    let order = match line.direction {
        Direction::Out => Order::ServerOut { stage, server },
        Direction::In => Order::ServerIn { stage, server },
    };
    give(session, order, line.why).await
}

/// Gives a service order, again and again on the newest base.
///
/// Such an order says how things shall be, whatever they are, so losing a race to an order about
/// something else must not stop an operator who takes a burning zone out. Only an order about the
/// same zone or backend server is left to the operators to settle.
async fn give(session: &mut Session, order: Order, why: String) -> Report {
    let stage = order.stage();
    let mut passed = Vec::new();
    for _ in 0..MOST_ROUNDS {
        if is_so(session, &order) {
            let values: [&str; 2] = [&order_text(&order), &stage.to_string()];
            let mut report = session.report(Exit::Done, MessageCode::NothingToDo, &values);
            report.lines.splice(0..0, passed);
            return report;
        }
        let draft = OrderDraft {
            order: order.clone(),
            base: session.desk.state().stage(stage).version(),
            why: why.clone(),
            document: None,
        };
        let verdict = match session.desk.give(draft).await {
            Ok(verdict) => verdict,
            Err(error) => return session.desk_failure(error),
        };
        match &verdict {
            Verdict::Rejected(Rejection::WrongBase {
                winner: Some(winner),
                ..
            }) if !is_about_same(&winner.order, &order) => {
                passed.push(verdict_text::summary(session, winner));
            }
            _ => {
                let mut report = verdict_text::report(session, stage, &verdict);
                report.lines.splice(0..0, passed);
                return report;
            }
        }
    }
    let values: [&str; 1] = [&order_text(&order)];
    session.report(Exit::Rejected, MessageCode::RejectedOther, &values)
}

/// Tells whether things are already as the order wants them.
fn is_so(session: &Session, order: &Order) -> bool {
    let state = session.desk.state().stage(order.stage());
    match order {
        Order::ZoneOut { zone, .. } => state.zones_out().contains(zone),
        Order::ZoneIn { zone, .. } => !state.zones_out().contains(zone),
        Order::ServerOut { server, .. } => state.servers_out().contains(server),
        Order::ServerIn { server, .. } => !state.servers_out().contains(server),
        Order::Publish { .. } | Order::Promote { .. } | Order::Rollback { .. } => false,
    }
}

fn is_about_same(one: &Order, other: &Order) -> bool {
    match (subject(one), subject(other)) {
        (Some(one), Some(other)) => one == other,
        _ => false,
    }
}

fn subject(order: &Order) -> Option<(bool, &str)> {
    match order {
        Order::ZoneOut { zone, .. } | Order::ZoneIn { zone, .. } => Some((true, zone.as_str())),
        Order::ServerOut { server, .. } | Order::ServerIn { server, .. } => {
            Some((false, server.as_str()))
        }
        Order::Publish { .. } | Order::Promote { .. } | Order::Rollback { .. } => None,
    }
}

fn unknown_zone(session: &Session, line: &ServiceOrder) -> Report {
    let stage: Stage = line.stage;
    let document = session.desk.state().document_of(stage);
    let zones: Vec<_> = document
        .iter()
        .flat_map(|document| document.zones.iter().map(ZoneName::to_string))
        .collect();
    let values: [&str; 2] = [&format!("{:?}", line.name), &zones.join(", ")];
    session.report(Exit::BadInput, MessageCode::UnknownZone, &values)
}
