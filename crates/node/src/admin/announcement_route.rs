//! The route for announcements of the backend server.

use quetzalrack_core::cluster::Announcement;
use rocket::State;
use rocket::http::Status;
use rocket::serde::json::Json;

use super::AdminState;
use super::local_sender::LocalSender;
use crate::control::ControlEvent;

/// Receives one announcement of the backend server beside this node.
#[rocket::post("/announcements", data = "<announcement>")]
pub(super) fn announce(
    _sender: LocalSender,
    announcement: Json<Announcement>,
    state: &State<AdminState>,
) -> Status {
    let announcement = Box::new(announcement.into_inner());
    state.inbox.send(ControlEvent::Announced(announcement));
    Status::Ok
}
