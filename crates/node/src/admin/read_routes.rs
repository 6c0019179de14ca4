//! The routes for reads by operators.

use quetzalrack_core::burn::NodeSample;
use quetzalrack_core::cluster::RoutingTable;
use quetzalrack_core::explain::Explanation;
use quetzalrack_wire::status::NodeStatus;
use rocket::State;
use rocket::http::Status;
use rocket::serde::json::Json;

use super::AdminState;
use super::operator_reader::OperatorReader;
use super::read_status::read_status;

/// Number of explanations returned when the request names no limit.
const DEFAULT_LIMIT: usize = 100;
/// Maximum number of explanations in one response.
const MAX_LIMIT: usize = 1024;

/// Reports that the process answers requests; says nothing about its state.
#[rocket::get("/health")]
pub(super) fn health() -> &'static str {
    "ok"
}

/// Returns the node's status.
#[rocket::get("/status")]
pub(super) fn status(
    _reader: OperatorReader,
    state: &State<AdminState>,
) -> Result<Json<NodeStatus>, Status> {
    read_status(state)
        .map(Json)
        .ok_or(Status::ServiceUnavailable)
}

/// Returns the routing table.
#[rocket::get("/routing")]
pub(super) fn routing(_reader: OperatorReader, state: &State<AdminState>) -> Json<RoutingTable> {
    Json((**state.view.routing.load()).clone())
}

/// Returns the newest explanations of what this node did and why, oldest first. `text` filters for
/// the entries that contain it, such as the name of a slice, a request or a node.
#[rocket::get("/explanations?<text>&<limit>")]
pub(super) fn explanations(
    _reader: OperatorReader,
    text: Option<&str>,
    limit: Option<usize>,
    state: &State<AdminState>,
) -> Json<Vec<Explanation>> {
    let limit = limit.unwrap_or(DEFAULT_LIMIT).min(MAX_LIMIT);
    let matches = |entry: &Explanation| text.is_none_or(|text| mentions(entry, text));
    let mut found = state.view.explanations.newest(limit, matches);
    found.extend(state.view.refusals.newest(limit, matches));
    found.sort_by_key(|entry| entry.at);
    found.drain(..found.len().saturating_sub(limit));
    Json(found)
}

/// Returns the counters from which the burn rate of service-level objectives is computed.
#[rocket::get("/service-level")]
pub(super) fn service_level(
    _reader: OperatorReader,
    state: &State<AdminState>,
) -> Result<Json<NodeSample>, Status> {
    let member = state.member.get().ok_or(Status::ServiceUnavailable)?;
    Ok(Json(NodeSample {
        node: member.node.clone(),
        incarnation: member.incarnation,
        zone: member.zone.clone(),
        at: state.clock.wall(),
        routes: state.traffic.route_samples(),
        work: state.traffic.work_samples(),
        slices: state.board.slices().samples(),
    }))
}

fn mentions(entry: &Explanation, text: &str) -> bool {
    serde_json::to_string(&entry.happening).is_ok_and(|json| json.contains(text))
}
