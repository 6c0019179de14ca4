//! A request on its way to a backend server.

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Uri;
use quetzalrack_core::ids::RouteName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::WorkKind;

/// Is a whole request with what its route says of it.
#[derive(Clone, Debug)]
pub(super) struct Job {
    /// The method.
    pub(super) method: Method,
    /// The path and query.
    pub(super) uri: Uri,
    /// The headers as the client sent them, but for those of its connection.
    pub(super) headers: HeaderMap,
    /// The body.
    pub(super) body: Bytes,
    /// The attempt's id.
    pub(super) id: Option<HeaderValue>,
    /// The key, if the service is divided by key.
    pub(super) key: Option<u16>,
    /// The service that is to run it.
    pub(super) service: ServiceName,
    /// The service of the host on which it began.
    pub(super) caller: ServiceName,
    /// Its route.
    pub(super) route: RouteName,
    /// Its rank.
    pub(super) rank: u32,
    /// Whether it may run more than once.
    pub(super) kind: WorkKind,
    /// Until when its answer is worth most.
    pub(super) objective: Moment,
    /// Until when an answer is of use.
    pub(super) deadline: Moment,
}

impl Job {
    /// Returns the attempt's id as text, for the log.
    pub(super) fn log_id(&self) -> &str {
        self.id
            .as_ref()
            .and_then(|id| id.to_str().ok())
            .unwrap_or("none")
    }
}
