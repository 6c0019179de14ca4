//! The refusal that a node sends to a caller or to another node.

use std::time::Duration;

use axum::body::Body;
use axum::http::HeaderMap;
use axum::http::HeaderValue;
use axum::http::Response;
use axum::http::StatusCode;
use axum::http::header;
use quetzalrack_core::ids::NodeName;
use quetzalrack_core::traffic::poison::KnownEnds;
use quetzalrack_core::traffic::refusal::RefusalCode;
use quetzalrack_core::traffic::refusal::WorkOutcome;
use quetzalrack_wire::headers;
use serde::Serialize;

use super::suspects::read_ends;
use super::suspects::write_ends;

/// How long a caller should wait before a retry if nothing more precise is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The same for a request under which backend servers end: until then some operator may have acted.
const POISON_RETRY_AFTER: Duration = Duration::from_secs(60);

/// A node's response to a request that no backend server has answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Refusal {
    pub(super) code: RefusalCode,
    pub(super) retry_after: Option<Duration>,
    pub(super) owner: Option<NodeName>,
    /// The ends of backend servers under the request's content that the node knows.
    pub(super) ends: KnownEnds,
}

#[derive(Serialize)]
struct RefusalBody {
    code: RefusalCode,
    outcome: WorkOutcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl From<RefusalCode> for Refusal {
    fn from(code: RefusalCode) -> Self {
        Self {
            code,
            retry_after: match code {
                RefusalCode::PoisonRequest => Some(POISON_RETRY_AFTER),
                code => code.is_transient().then_some(DEFAULT_RETRY_AFTER),
            },
            owner: None,
            ends: KnownEnds::default(),
        }
    }
}

impl Refusal {
    /// Refuses a request for a slice that the node does not own, and names the owner if known.
    pub(super) fn not_owner(owner: Option<NodeName>) -> Self {
        Self {
            owner,
            ..Self::from(RefusalCode::NotOwner)
        }
    }

    /// Returns the refusal for the caller after an earlier attempt was refused as well. Once an
    /// attempt may have run, a later "not run" does not hold for the request as a whole.
    pub(super) fn merge_earlier(self, earlier: Option<Self>) -> Self {
        match earlier {
            Some(earlier)
                if self.code.outcome() == WorkOutcome::NotRun
                    && earlier.code.outcome() != WorkOutcome::NotRun =>
            {
                earlier
            }
            _ => self,
        }
    }

    /// Parses the refusal of another node; none if the response is a backend server's.
    pub(super) fn from_headers(response: &HeaderMap) -> Option<Self> {
        let text = |name: &str| response.get(name).and_then(|value| value.to_str().ok());
        let code = text(headers::REFUSAL)?.parse::<RefusalCode>().ok()?;
        let seconds = text(header::RETRY_AFTER.as_str()).and_then(|text| text.parse().ok());
        Some(Self {
            code,
            retry_after: seconds
                .map(Duration::from_secs)
                .or(Self::from(code).retry_after),
            owner: text(headers::OWNER).and_then(|name| name.parse().ok()),
            ends: read_ends(response),
        })
    }

    /// Converts the refusal into an HTTP response.
    pub(super) fn into_response(self) -> Response<Body> {
        let body = RefusalBody {
            code: self.code,
            outcome: self.code.outcome(),
            retry_after_ms: self.retry_after.map(|delay| delay.as_millis() as u64),
        };
        let text = serde_json::to_vec(&body).unwrap_or_default();
        let mut response = Response::new(Body::from(text));
        *response.status_mut() =
            StatusCode::from_u16(self.code.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        let map = response.headers_mut();
        map.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        map.insert(
            headers::REFUSAL,
            HeaderValue::from_static(self.code.as_str()),
        );
        if let Some(delay) = self.retry_after {
            // The header has whole seconds; rounding down would make callers retry too early.
            let seconds = delay.as_millis().div_ceil(1_000) as u64;
            map.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        write_ends(map, &self.ends);
        if let Some(value) = self
            .owner
            .and_then(|owner| HeaderValue::from_str(owner.as_str()).ok())
        {
            map.insert(headers::OWNER, value);
        }
        response
    }
}
