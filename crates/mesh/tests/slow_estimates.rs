//! Admission to a backend server that was slow and is quick again.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use quetzalrack_core::ids::RouteName;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::traffic::admission::Admission;
use quetzalrack_mesh::traffic::admission::AdmissionAction;
use quetzalrack_mesh::traffic::admission::AdmissionRequest;
use quetzalrack_mesh::traffic::admission::ResponseSample;
use quetzalrack_mesh::traffic::admission::ServerLimit;
use quetzalrack_mesh::traffic::admission::Ticket;

const SLOTS: usize = 10;
/// How long the slow responses take.
const SLOW: Duration = Duration::from_secs(10);
/// How long ordinary callers wait, in ms.
const DEADLINE_MS: u64 = 5_000;
/// How long they keep asking, each time after a tenth of a second, in ms.
const ASKING_MS: u64 = 60_000;

fn at(ms: u64) -> Moment {
    Moment((10_000 + ms) * 1_000_000)
}

fn request(route: &RouteName, ticket: u64, now: u64, deadline_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        ticket: Ticket(ticket),
        route: route.clone(),
        rank: 1,
        objective: at(now + 400),
        deadline: at(now + deadline_ms),
    }
}

/// Returns whether an idle server that was slow for patient callers of one route is sent any request of
/// another caller.
fn is_used_again(slow_route: &str, route: &str) -> bool {
    let (slow_route, route) = (slow_route.parse().unwrap(), route.parse().unwrap());
    let mut admission = Admission::default();
    admission.set_slots(SLOTS);
    admission.set_limit(ServerLimit::Unlimited);
    for ticket in 0..SLOTS as u64 {
        let actions = admission.arrive(at(0), request(&slow_route, ticket, 0, 120_000));
        assert_eq!(actions, [AdmissionAction::Admit(Ticket(ticket))]);
    }
    for ticket in 0..SLOTS as u64 {
        let response = ResponseSample {
            route: &slow_route,
            service_time: SLOW,
            bytes: 100,
        };
        admission.end(at(10_000), Ticket(ticket), Some(response));
    }
    (10_100..10_100 + ASKING_MS).step_by(100).any(|now| {
        let actions = admission.arrive(at(now), request(&route, now, now, DEADLINE_MS));
        let is_admitted = |action: &AdmissionAction| matches!(action, AdmissionAction::Admit(_));
        actions.iter().any(is_admitted)
    })
}

/// Guards against a server that is never asked again by callers with a deadline below its last responses.
#[test]
fn same_route() {
    assert!(is_used_again("once", "once"));
}

/// Guards against a server that is never asked again on one route since another route was slow.
#[test]
fn other_route() {
    assert!(is_used_again("once", "plain"));
}
