//! The grants that a stand-in server receives by calls, and faults in its replies to them.

use std::time::Duration;
use std::time::Instant;

use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use serde_json::Value;

use super::stand_in_server::StandInServer;
use super::truth::HeldRange;

/// Fault in the handling of calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum CallFault {
    #[default]
    None,
    /// Calls are applied at once without a reply.
    Unanswered,
    /// Calls are applied after this delay without a reply.
    Late(Duration),
}

/// A granted range and when its hold ends.
#[derive(Clone, Copy, Debug)]
pub struct GrantedRange {
    pub range: HeldRange,
    pub until: Instant,
}

/// What an incarnation of a server holds by calls.
#[derive(Default)]
pub struct CallGrants {
    held: Vec<GrantedRange>,
    seen: Vec<HeldRange>,
    pub fault: CallFault,
    pub released: u32,
}

/// A received call.
pub struct Call {
    pub range: HeldRange,
    /// End of the hold; `None` for a release.
    pub until: Option<Instant>,
}

impl Call {
    /// Parses a call; returns `None` if it is malformed.
    pub fn parse(path: &str, body: &[u8]) -> Option<Self> {
        let body: Value = serde_json::from_slice(body).ok()?;
        let key = |name: &str| u16::try_from(body[name].as_u64()?).ok();
        let range = (
            key("from")?,
            key("target_version")?,
            body["fence"].as_u64()?,
        );
        if range.0 > range.1 {
            return None;
        }
        let hold = body["hold_time"].as_str();
        let hold = hold.and_then(|time| time.strip_suffix("ms")?.parse().ok());
        let until = hold.map(|time| Instant::now() + Duration::from_millis(time));
        let valid = until.is_some() == (path == "/grant");
        valid.then_some(Self { range, until })
    }
}

impl CallGrants {
    /// Returns the ranges that are held now.
    pub fn held(&self) -> Vec<GrantedRange> {
        let now = Instant::now();
        let live = self.held.iter().filter(|granted| granted.until > now);
        live.copied().collect()
    }

    pub fn holds(&self, key: u16) -> bool {
        let held = self.held();
        held.iter()
            .any(|granted| (granted.range.0..=granted.range.1).contains(&key))
    }

    /// Applies a grant unless an overlapping range was seen with a higher token; returns whether it
    /// was accepted.
    pub fn grant(&mut self, range: HeldRange, until: Instant) -> bool {
        let overlaps = |other: &HeldRange| other.0 <= range.1 && other.1 >= range.0;
        if self
            .seen
            .iter()
            .any(|seen| overlaps(seen) && seen.2 > range.2)
        {
            return false;
        }
        self.seen.retain(|seen| *seen != range);
        self.seen.push(range);
        self.subtract(range);
        self.held.push(GrantedRange { range, until });
        true
    }

    /// Releases keys; requests that are running on them continue.
    pub fn release(&mut self, range: HeldRange) {
        self.subtract(range);
        self.released += 1;
    }

    fn subtract(&mut self, range: HeldRange) {
        let held = std::mem::take(&mut self.held);
        self.held = held
            .into_iter()
            .flat_map(|granted| {
                let parts = super::stand_in_server::subtract_ranges(granted.range, &[range]);
                parts
                    .into_iter()
                    .map(move |range| GrantedRange { range, ..granted })
            })
            .collect();
    }
}

/// Returns the reply to a release.
fn release_reply(range: HeldRange) -> Response {
    let handover = format!("word-{}-{}", range.0, range.2);
    (StatusCode::OK, [("x-handover", handover.as_str())]).into_response()
}

impl StandInServer {
    /// Returns the keys that this server was granted while another is at work on them.
    pub fn granted_keys_running_at(&self, other: &StandInServer) -> Vec<u16> {
        let running = other.lock().running.clone();
        let granted = |key: &u16| self.lock().call_grants.holds(*key);
        running.into_iter().filter(granted).collect()
    }

    /// Handles a call that grants or releases keys.
    pub(super) async fn handle_call(&self, call: Call) -> Response {
        // A crashed server applies no calls.
        if self.lock().dead {
            return StatusCode::BAD_GATEWAY.into_response();
        }
        let incarnation = self.incarnation();
        let fault = self.lock().call_grants.fault;
        if let CallFault::Late(delay) = fault {
            let server = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                server.apply_call(&server.incarnation(), &call).await;
            });
            return never_reply().await;
        }
        let reply = self.apply_call(&incarnation, &call).await;
        match fault {
            CallFault::Unanswered => never_reply().await,
            _ => reply,
        }
    }

    async fn apply_call(&self, incarnation: &str, call: &Call) -> Response {
        let Some(until) = call.until else {
            let (first, last, _) = call.range;
            self.lock().call_grants.release(call.range);
            // The reply to a release confirms that no requests are running on the keys.
            loop {
                let running = self.lock().running.clone();
                if !running.iter().any(|key| (first..=last).contains(key)) {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            self.report_holdings(incarnation);
            return release_reply(call.range);
        };
        let accepted = until > Instant::now() && self.lock().call_grants.grant(call.range, until);
        self.report_holdings(incarnation);
        match accepted {
            true => StatusCode::OK.into_response(),
            false => StatusCode::CONFLICT.into_response(),
        }
    }

    fn report_holdings(&self, incarnation: &str) {
        let held = self.lock().call_grants.held();
        let ranges: Vec<(HeldRange, Instant)> = held
            .iter()
            .map(|GrantedRange { range, until }| (*range, *until))
            .collect();
        self.truth.hold(incarnation, &ranges);
    }
}

/// Never completes; the caller closes the connection.
async fn never_reply() -> Response {
    std::future::pending().await
}
