//! An answer that breaks off.

use rocket::Request;
use rocket::http::Status;
use rocket::response;
use rocket::response::Responder;
use rocket::response::Response;

use super::CutBody;

/// The length that a broken answer promises and never delivers, in bytes.
const PROMISED: u64 = 64;

/// Answers with a head that promises a body and then breaks the connection.
#[derive(Clone, Copy, Debug)]
pub struct BrokenBody;

impl<'r> Responder<'r, 'static> for BrokenBody {
    fn respond_to(self, _: &'r Request<'_>) -> response::Result<'static> {
        Response::build()
            .status(Status::Ok)
            .sized_body(
                PROMISED as usize,
                CutBody::new(Vec::new(), PROMISED, Some(0)),
            )
            .ok()
    }
}
