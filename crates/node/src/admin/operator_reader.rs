//! Request guard for reads by operators.

use quetzalrack_wire::access::AccessError;
use quetzalrack_wire::access::AccessProof;
use quetzalrack_wire::access::HEADER;
use rocket::Request;
use rocket::State;
use rocket::http::Status;
use rocket::request::FromRequest;
use rocket::request::Outcome;

use super::AdminState;

/// A sender who has proved possession of an operator's key, or any sender if the settings don't
/// require the proof.
pub(super) struct OperatorReader;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for OperatorReader {
    type Error = AccessError;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        let Outcome::Success(state) = request.guard::<&State<AdminState>>().await else {
            return Outcome::Error((Status::InternalServerError, AccessError::Missing));
        };
        if !state.guard_reads {
            return Outcome::Success(Self);
        }
        let checked = AccessProof::check(
            request.headers().get_one(HEADER),
            &request.uri().to_string(),
            state.clock.wall(),
            &state.keys.operators(),
        );
        match checked {
            Ok(()) => Outcome::Success(Self),
            Err(error) => {
                log::warn!(event = "operator_refused", from:? = request.remote(); "{error}");
                Outcome::Error((Status::Unauthorized, error))
            }
        }
    }
}
