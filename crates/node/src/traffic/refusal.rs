//! A refusal on its way to a caller or to another node.

use std::time::Duration;

use axum::body::Body;
use axum::http::HeaderMap;
use axum::http::HeaderValue;
use axum::http::Response;
use axum::http::StatusCode;
use axum::http::header;
use quetzalrack_core::ids::NodeName;
use quetzalrack_core::traffic::refusal::RefusalCode;
use quetzalrack_core::traffic::refusal::WorkOutcome;
use quetzalrack_wire::headers;
use serde::Serialize;

/// How long a caller should wait where nothing better is known.
const USUAL_RETRY: Duration = Duration::from_millis(500);

/// Is the answer of a node to a request that no backend server answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Refusal {
    pub(super) code: RefusalCode,
    pub(super) retry: Option<Duration>,
    pub(super) owner: Option<NodeName>,
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
            retry: code.is_transient().then_some(USUAL_RETRY),
            owner: None,
        }
    }
}

impl Refusal {
    /// Says that the node does not own the slice, and who it believes does.
    pub(super) fn not_owner(owner: Option<NodeName>) -> Self {
        Self {
            owner,
            ..Self::from(RefusalCode::NotOwner)
        }
    }

    /// Returns what to tell the caller after an earlier attempt was refused as well. Once an
    /// attempt may have run, no later one can make "not run" true.
    pub(super) fn after(self, earlier: Option<Self>) -> Self {
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

    /// Reads a refusal that another node sent; none if the answer is a backend server's.
    pub(super) fn read(answer: &HeaderMap) -> Option<Self> {
        let text = |name: &str| answer.get(name).and_then(|value| value.to_str().ok());
        let code = text(headers::REFUSAL)?.parse::<RefusalCode>().ok()?;
        let seconds = text(header::RETRY_AFTER.as_str()).and_then(|text| text.parse().ok());
        Some(Self {
            code,
            retry: seconds.map(Duration::from_secs).or(Self::from(code).retry),
            owner: text(headers::OWNER).and_then(|name| name.parse().ok()),
        })
    }

    /// Makes the answer.
    pub(super) fn into_response(self) -> Response<Body> {
        let body = RefusalBody {
            code: self.code,
            outcome: self.code.outcome(),
            retry_after_ms: self.retry.map(|span| span.as_millis() as u64),
        };
        let text = serde_json::to_vec(&body).unwrap_or_default();
        let mut answer = Response::new(Body::from(text));
        *answer.status_mut() =
            StatusCode::from_u16(self.code.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        let map = answer.headers_mut();
        map.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        map.insert(
            headers::REFUSAL,
            HeaderValue::from_static(self.code.as_str()),
        );
        if let Some(span) = self.retry {
            // The header has whole seconds; rounding up keeps a caller from coming too early.
            let seconds = span.as_millis().div_ceil(1_000) as u64;
            map.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if let Some(value) = self
            .owner
            .and_then(|owner| HeaderValue::from_str(owner.as_str()).ok())
        {
            map.insert(headers::OWNER, value);
        }
        answer
    }
}
