//! A backend server's answer.

use quetzalrack_core::ids::AttemptId;
use quetzalrack_core::ids::ServerName;
use quetzalrack_wire::headers;
use rocket::Request;
use rocket::http::ContentType;
use rocket::http::Status;
use rocket::response;
use rocket::response::Responder;
use rocket::response::Response;

use crate::process::CutBody;

/// Is one answer with the headers that `docs/PROTOCOLS.md` names.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: Status,
    /// The attempt's id that the answer claims.
    pub attempt: Option<AttemptId>,
    /// Whether the work surely did not run.
    pub not_run: bool,
    /// The server.
    pub server: ServerName,
    /// The body.
    pub body: CutBody,
}

impl<'r> Responder<'r, 'static> for Answer {
    fn respond_to(self, _: &'r Request<'_>) -> response::Result<'static> {
        let size = usize::try_from(self.body.size()).unwrap_or(usize::MAX);
        let mut answer = Response::build();
        answer
            .status(self.status)
            .header(ContentType::Plain)
            .raw_header(headers::SERVER, self.server.to_string())
            .sized_body(size, self.body);
        if let Some(attempt) = self.attempt {
            answer.raw_header(headers::ATTEMPT, attempt.to_string());
        }
        if self.not_run {
            answer.raw_header(headers::NOT_RUN, "true");
        }
        answer.ok()
    }
}
