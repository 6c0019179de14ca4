//! Stable refusal codes.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use super::WorkOutcome;

/// The reason why a request was refused. Codes are stable, so callers and operators may act on
/// them; `docs/operations/refusals.md` says what each requires of whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// No route of the document matches the method and path.
    NoRoute,
    /// The path is not valid percent-encoded UTF-8.
    BadPath,
    /// The route is not repeatable and the request has no version 7 UUID as idempotency key.
    KeyRequired,
    /// The idempotency key was made too far in the future to be remembered safely.
    KeyAhead,
    /// The idempotency key was used before with another request.
    KeyReused,
    /// The request body is larger than the route accepts.
    BodyTooLarge,
    /// The request body exceeded what the route accepts after part of it was forwarded.
    BodyOverrun,
    /// The request body ended early, so nothing was forwarded.
    BodyBroken,
    /// The request's headers are larger than a node accepts.
    HeadersTooLarge,
    /// A request claims to come from another node and its authenticator is wrong.
    NotAuthentic,
    /// The node does not know the environment document, its backend server, or under which requests servers ended yet.
    NotReady,
    /// The key's slice has no owner at the moment.
    NoOwner,
    /// The node does not own the slice; sent only between nodes.
    NotOwner,
    /// No backend server of the service is in service.
    NoServer,
    /// The chosen backend server accepts no new requests.
    OutOfService,
    /// More requests arrived than the backend servers can handle.
    Overloaded,
    /// The backend server itself rejected the request without running it.
    Shed,
    /// No connection to the backend server or its node could be made.
    ServerUnreachable,
    /// The deadline could not be met and nothing was sent.
    DeadlineNotRun,
    /// Backend servers ended under requests of this content, and it is being tried at one.
    Suspected,
    /// Three backend servers ended under requests of this content, which is not sent any more.
    PoisonRequest,
    /// The backend server knows a newer owner of the slice.
    StaleFence,
    /// The deadline passed while the backend server ran the request.
    DeadlineUnknown,
    /// The request was sent, and no complete response to it came back.
    AnswerLost,
    /// The first request with this idempotency key is still running.
    StillRunning,
    /// The idempotency key is older than the keys that its owner keeps.
    OutcomeUnknown,
    /// The work ran and its response was too large to store.
    OutcomeNotKept,
    /// The backend server ran the work and responded that it failed.
    ServerFailed,
}

/// The error for a text that is not a refusal code.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("unknown refusal code")]
pub struct ParseRefusalCodeError;

impl RefusalCode {
    /// Lists every code.
    pub const ALL: &[Self] = &[
        Self::NoRoute,
        Self::BadPath,
        Self::KeyRequired,
        Self::KeyAhead,
        Self::KeyReused,
        Self::BodyTooLarge,
        Self::BodyOverrun,
        Self::BodyBroken,
        Self::HeadersTooLarge,
        Self::NotAuthentic,
        Self::NotReady,
        Self::NoOwner,
        Self::NotOwner,
        Self::NoServer,
        Self::OutOfService,
        Self::Overloaded,
        Self::Shed,
        Self::ServerUnreachable,
        Self::DeadlineNotRun,
        Self::Suspected,
        Self::PoisonRequest,
        Self::StaleFence,
        Self::DeadlineUnknown,
        Self::AnswerLost,
        Self::StillRunning,
        Self::OutcomeUnknown,
        Self::OutcomeNotKept,
        Self::ServerFailed,
    ];

    /// Returns the code as it is sent to callers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoRoute => "no_route",
            Self::BadPath => "bad_path",
            Self::KeyRequired => "key_required",
            Self::KeyAhead => "key_ahead",
            Self::KeyReused => "key_reused",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyOverrun => "body_overrun",
            Self::BodyBroken => "body_broken",
            Self::HeadersTooLarge => "headers_too_large",
            Self::NotAuthentic => "not_authentic",
            Self::NotReady => "not_ready",
            Self::NoOwner => "no_owner",
            Self::NotOwner => "not_owner",
            Self::NoServer => "no_server",
            Self::OutOfService => "out_of_service",
            Self::Overloaded => "overloaded",
            Self::Shed => "shed",
            Self::ServerUnreachable => "server_unreachable",
            Self::DeadlineNotRun => "deadline_not_run",
            Self::Suspected => "suspected",
            Self::PoisonRequest => "poison_request",
            Self::StaleFence => "stale_fence",
            Self::DeadlineUnknown => "deadline_unknown",
            Self::AnswerLost => "answer_lost",
            Self::StillRunning => "still_running",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::OutcomeNotKept => "outcome_not_kept",
            Self::ServerFailed => "server_failed",
        }
    }

    /// Returns the HTTP status sent with the code.
    pub fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::BadPath | Self::KeyRequired | Self::KeyAhead | Self::BodyBroken => 400,
            Self::KeyReused => 422,
            Self::BodyTooLarge | Self::BodyOverrun => 413,
            Self::HeadersTooLarge => 431,
            Self::NotAuthentic => 401,
            Self::NotReady
            | Self::NoOwner
            | Self::NoServer
            | Self::OutOfService
            | Self::Overloaded
            | Self::Shed
            | Self::ServerUnreachable
            | Self::Suspected
            | Self::PoisonRequest
            | Self::StaleFence => 503,
            Self::NotOwner => 421,
            Self::DeadlineNotRun | Self::DeadlineUnknown => 504,
            Self::AnswerLost | Self::ServerFailed => 502,
            Self::StillRunning | Self::OutcomeUnknown | Self::OutcomeNotKept => 409,
        }
    }

    /// Returns the outcome of the work.
    pub fn outcome(self) -> WorkOutcome {
        match self {
            Self::BodyOverrun
            | Self::DeadlineUnknown
            | Self::AnswerLost
            | Self::StillRunning
            | Self::OutcomeUnknown
            | Self::OutcomeNotKept => WorkOutcome::Unknown,
            Self::ServerFailed => WorkOutcome::Failed,
            _ => WorkOutcome::NotRun,
        }
    }

    /// Returns whether the caller's request itself is wrong, so that no backend server could have
    /// served it. Such a refusal breaks no objective and spends no error budget.
    pub fn is_client_error(self) -> bool {
        matches!(
            self,
            Self::NoRoute
                | Self::BadPath
                | Self::KeyRequired
                | Self::KeyAhead
                | Self::KeyReused
                | Self::BodyTooLarge
                | Self::BodyOverrun
                | Self::BodyBroken
                | Self::HeadersTooLarge
                | Self::NotAuthentic
        )
    }

    /// Returns whether the same request is likely to be served a little later or at another node.
    pub fn is_transient(self) -> bool {
        matches!(
            self,
            Self::NotReady
                | Self::NoOwner
                | Self::NotOwner
                | Self::NoServer
                | Self::OutOfService
                | Self::Overloaded
                | Self::Shed
                | Self::ServerUnreachable
                | Self::DeadlineNotRun
                | Self::Suspected
                | Self::StaleFence
                | Self::DeadlineUnknown
                | Self::AnswerLost
                | Self::StillRunning
        )
    }
}

impl fmt::Display for RefusalCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for RefusalCode {
    type Err = ParseRefusalCodeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .iter()
            .copied()
            .find(|code| code.as_str() == text)
            .ok_or(ParseRefusalCodeError)
    }
}
