//! A request that is sent to a backend server.

use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Uri;
use http::header::HOST;
use quetzalrack_core::ids::RouteName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::poison::ContentDigest;
use quetzalrack_mesh::model::RequestKind;

use super::body::Payload;

/// A request, read to its end, together with the settings of its route.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// The headers as the client sent them, without the hop-by-hop headers.
    pub(super) headers: HeaderMap,
    pub(super) body: Payload,
    /// The id that the client sent for this attempt.
    pub(super) id: Option<HeaderValue>,
    /// The digest of what the request asks for.
    pub(super) content: ContentDigest,
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
    /// Digests what a request asks for. Left out is what differs between the attempts of one client, its id
    /// and deadline, and every header that servers need not heed.
    pub(super) fn digest_content(
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
        key: Option<u16>,
        body: &Payload,
    ) -> ContentDigest {
        let host = headers.get(HOST).map(HeaderValue::as_bytes);
        let host = host.unwrap_or_default().to_ascii_lowercase();
        let path = uri.path_and_query().map_or("/", |path| path.as_str());
        let key = key.map_or([0; 3], |key| {
            let [high, low] = key.to_be_bytes();
            [1, high, low]
        });
        let parts = [method.as_str().as_bytes(), &host, path.as_bytes(), &key];
        let blocks = body.blocks().iter().map(AsRef::as_ref);
        ContentDigest::with_blocks(parts, body.len(), blocks)
    }

    /// Returns the attempt's id for the log; "none" if the client sent none.
    pub(super) fn log_id(&self) -> &str {
        self.id
            .as_ref()
            .and_then(|id| id.to_str().ok())
            .unwrap_or("none")
    }
}
