//! What a stand-in server holds by calls, and how its answers to them get lost.

use std::time::Duration;
use std::time::Instant;

use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use serde_json::Value;

use super::truth::Row;

/// Says what becomes of calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum CallFault {
    #[default]
    None,
    /// They are obeyed at once and not answered.
    Unanswered,
    /// They are obeyed this much later and not answered.
    Late(Duration),
}

/// Is a range with its end.
#[derive(Clone, Copy, Debug)]
pub struct Called {
    pub row: Row,
    pub until: Instant,
}

/// Is what a life of a server holds by calls.
#[derive(Default)]
pub struct CalledKeys {
    held: Vec<Called>,
    seen: Vec<Row>,
    pub fault: CallFault,
    pub released: u32,
}

/// Is a call as it came.
pub struct Call {
    pub row: Row,
    /// The end of the hold; none for a release.
    pub until: Option<Instant>,
}

impl Call {
    /// Reads a call; nothing if it is malformed.
    pub fn parse(path: &str, body: &[u8]) -> Option<Self> {
        let body: Value = serde_json::from_slice(body).ok()?;
        let key = |name: &str| u16::try_from(body[name].as_u64()?).ok();
        let row = (
            key("from")?,
            key("target_version")?,
            body["fence"].as_u64()?,
        );
        if row.0 > row.1 {
            return None;
        }
        let time = body["hold_time"].as_str();
        let time = time.and_then(|time| time.strip_suffix("ms")?.parse().ok());
        let until = time.map(|time| Instant::now() + Duration::from_millis(time));
        let known = until.is_some() == (path == "/grant");
        known.then_some(Self { row, until })
    }
}

impl CalledKeys {
    /// Returns what is held now.
    pub fn held(&self) -> Vec<Called> {
        let now = Instant::now();
        let live = self.held.iter().filter(|called| called.until > now);
        live.copied().collect()
    }

    pub fn holds(&self, key: u16) -> bool {
        let held = self.held();
        held.iter()
            .any(|called| (called.row.0..=called.row.1).contains(&key))
    }

    /// Takes a grant; tells whether it was accepted.
    pub fn grant(&mut self, row: Row, until: Instant) -> bool {
        let overlaps = |other: &Row| other.0 <= row.1 && other.1 >= row.0;
        if self
            .seen
            .iter()
            .any(|seen| overlaps(seen) && seen.2 > row.2)
        {
            return false;
        }
        self.seen.retain(|seen| *seen != row);
        self.seen.push(row);
        self.cut(row);
        self.held.push(Called { row, until });
        true
    }

    /// Takes keys back; what works on them goes on.
    pub fn release(&mut self, row: Row) {
        self.cut(row);
        self.released += 1;
    }

    fn cut(&mut self, row: Row) {
        let held = std::mem::take(&mut self.held);
        self.held = held
            .into_iter()
            .flat_map(|called| {
                let parts = super::stand_in_server::left_out(called.row, &[row]);
                parts.into_iter().map(move |row| Called { row, ..called })
            })
            .collect();
    }
}

/// Answers a release.
pub fn released(row: Row) -> Response {
    let word = format!("word-{}-{}", row.0, row.2);
    (StatusCode::OK, [("x-handover", word.as_str())]).into_response()
}
