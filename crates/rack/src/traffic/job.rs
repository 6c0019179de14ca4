//! A request that is sent to a backend server.

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Uri;
use quetzalrack_core::ids::RouteName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::RequestKind;

/// A request, read to its end, together with the settings of its route.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// The headers as the client sent them, without the hop-by-hop headers.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// The id that the client sent for this attempt.
    pub(super) id: Option<HeaderValue>,
    /// The sharding key, if the service is divided by key.
    pub(super) key: Option<u16>,
    /// The service that is to handle the request.
    pub(super) service: ServiceName,
    /// The service of the host where the request entered.
    pub(super) caller: ServiceName,
    pub(super) route: RouteName,
    /// The priority of its route; 0 is the most urgent.
    pub(super) rank: u32,
    /// Whether it may run more than once.
    pub(super) kind: RequestKind,
    /// The latest time at which a response still meets the route's objective.
    pub(super) objective: Moment,
    /// The latest time at which a response is still of use.
    pub(super) deadline: Moment,
}

impl Job {
    /// Returns the attempt's id for the log; "none" if the client sent none.
    pub(super) fn log_id(&self) -> &str {
        self.id
            .as_ref()
            .and_then(|id| id.to_str().ok())
            .unwrap_or("none")
    }
}
