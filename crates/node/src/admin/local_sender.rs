//! Request guard that allows only senders on this host.

use rocket::Request;
use rocket::State;
use rocket::http::Status;
use rocket::request::FromRequest;
use rocket::request::Outcome;

use super::AdminState;

/// A sender on this host.
///
/// A remote sender who could announce a backend server could redirect this node's requests to its
/// own address. The guard checks the address of the socket, because headers can be forged.
pub(super) struct LocalSender;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for LocalSender {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        let Outcome::Success(state) = request.guard::<&State<AdminState>>().await else {
            return Outcome::Error((Status::InternalServerError, ()));
        };
        let is_local = request.remote().is_some_and(|remote| {
            let ip = remote.ip().to_canonical();
            ip.is_loopback() || ip == state.address
        });
        if is_local {
            return Outcome::Success(Self);
        }
        log::warn!(event = "announcement_refused", from:? = request.remote(); "rejected an announcement that was not sent from this host");
        Outcome::Error((Status::Forbidden, ()))
    }
}
