//! An in-memory log, signed orders and readers for the tests of intent.

#![allow(dead_code, clippy::unwrap_used)]

use std::time::Duration;

use quetzalrack_core::boundary::LogEntry;
use quetzalrack_core::ids::DocumentDigest;
use quetzalrack_core::ids::Offset;
use quetzalrack_core::ids::RecordId;
use quetzalrack_core::ids::Version;
use quetzalrack_core::intent::IntentAction;
use quetzalrack_core::intent::IntentConfig;
use quetzalrack_core::intent::IntentEvent;
use quetzalrack_core::intent::IntentHappening;
use quetzalrack_core::intent::IntentSnapshot;
use quetzalrack_core::intent::IntentState;
use quetzalrack_core::intent::LogRecord;
use quetzalrack_core::intent::Order;
use quetzalrack_core::intent::OrderBody;
use quetzalrack_core::intent::SignedOrder;
use quetzalrack_core::intent::Stage;
use quetzalrack_core::security::KeyRing;
use quetzalrack_core::security::KeySettings;
use quetzalrack_core::time::Moment;
use quetzalrack_core::time::WallTime;

pub const ANDINA: &str = include_str!("../data/andina.json");

pub fn keys(ids: &[&str]) -> KeyRing {
    let settings: Vec<_> = ids
        .iter()
        .map(|id| KeySettings {
            id: (*id).to_owned(),
            secret: hex::encode(format!("{id:-<32}")),
        })
        .collect();
    KeyRing::open(&settings).unwrap()
}

/// Returns a document whose lease time makes it differ from those with other numbers.
pub fn document(number: u32) -> String {
    ANDINA.replacen(
        "\"lease_ms\": 1200",
        &format!("\"lease_ms\": {}", 1200 + number),
        1,
    )
}

pub fn digest(number: u32) -> DocumentDigest {
    DocumentDigest::of(document(number).as_bytes())
}

/// An append-only log that expires old records on request.
#[derive(Default)]
pub struct MemoryLog {
    pub entries: Vec<LogEntry>,
    pub oldest: usize,
    pub wall: WallTime,
}

impl MemoryLog {
    pub fn append(&mut self, data: Vec<u8>) -> Offset {
        let offset = Offset(self.entries.len() as u64);
        let taken = self.wall;
        self.entries.push(LogEntry {
            offset,
            taken,
            data,
        });
        offset
    }

    pub fn append_record(&mut self, record: &LogRecord) -> Offset {
        self.append(record.to_data().unwrap())
    }

    pub fn expire_all(&mut self) {
        self.oldest = self.entries.len();
    }

    pub fn read_event(&self, from: Offset) -> IntentEvent {
        let from = from.0 as usize;
        if from < self.oldest {
            return IntentEvent::LogExpired(Offset(self.oldest as u64));
        }
        IntentEvent::LogRead {
            entries: self.entries[from.min(self.entries.len())..].to_vec(),
            at_end: true,
        }
    }
}

pub fn signed(number: u128, base: u64, order: Order, signer: &KeyRing) -> SignedOrder {
    let body = OrderBody {
        id: RecordId(uuid::Uuid::from_u128(number)),
        environment: "andina".parse().unwrap(),
        base: Version(base),
        operator: "maria".parse().unwrap(),
        why: format!("reason {number}"),
        at: WallTime(number as u64),
        order,
    };
    SignedOrder::sign(&body, None, signer).unwrap()
}

pub fn order(number: u128, base: u64, order: Order) -> LogRecord {
    LogRecord::Order(signed(number, base, order, &keys(&["k1"])))
}

pub fn publish(number: u128, base: u64, variant: u32) -> LogRecord {
    let digest = digest(variant);
    let mut signed = signed(number, base, Order::Publish { digest }, &keys(&["k1"]));
    signed.document = Some(document(variant));
    LogRecord::Order(signed)
}

pub fn promote(number: u128, base: u64, variant: u32) -> LogRecord {
    let digest = digest(variant);
    order(number, base, Order::Promote { digest })
}

pub fn zone_out(number: u128, base: u64, zone: &str) -> LogRecord {
    let zone = zone.parse().unwrap();
    let stage = Stage::Trial;
    order(number, base, Order::ZoneOut { stage, zone })
}

/// A reader with its own clock.
pub struct Reader {
    pub state: IntentState,
    pub now: Moment,
    pub explained: Vec<IntentHappening>,
    pub versions: Vec<Version>,
}

impl Reader {
    pub fn open(stage: Stage) -> Self {
        Self::with_keys(stage, keys(&["k1"]))
    }

    pub fn with_keys(stage: Stage, keys: KeyRing) -> Self {
        Self {
            state: IntentState::open(IntentConfig {
                environment: "andina".parse().unwrap(),
                stage,
                keys,
                copy_every: Duration::from_secs(600),
            }),
            now: Moment::default(),
            explained: Vec::new(),
            versions: Vec::new(),
        }
    }

    /// Handles one event and returns the records to append.
    pub fn step(&mut self, event: IntentEvent) -> Vec<Vec<u8>> {
        let mut appended = Vec::new();
        for action in self.state.step(self.now, event) {
            match action {
                IntentAction::InForce(in_force) => self.versions.push(in_force.version),
                IntentAction::Append { data, .. } => appended.push(data),
                IntentAction::Explain(happening) => self.explained.push(happening),
            }
        }
        appended
    }

    /// Reads until the reader needs no more records.
    pub fn catch_up(&mut self, log: &MemoryLog) {
        for _ in 0..10 {
            let from = self.state.next_offset();
            self.step(log.read_event(from));
            if self.state.next_offset() == from {
                return;
            }
        }
    }

    pub fn receive_snapshot(&mut self, snapshot: Option<IntentSnapshot>) {
        if let Some(snapshot) = snapshot {
            self.step(IntentEvent::SnapshotReceived(Box::new(snapshot)));
        }
    }

    /// Advances the clocks of the reader and the log by `span`, and appends the reader's records.
    pub fn advance(&mut self, span: Duration, log: &mut MemoryLog) {
        self.now = self.now + span;
        log.wall = WallTime(log.wall.0 + span.as_millis() as u64);
        for data in self.step(IntentEvent::Tick { wall: log.wall }) {
            log.append(data);
        }
    }
}

/// Asserts that two readers have the same state in both stages and the same intent in force.
pub fn assert_same_state(one: &IntentState, other: &IntentState) {
    for stage in [Stage::Trial, Stage::Production] {
        assert_eq!(one.stage(stage), other.stage(stage));
    }
    assert_eq!(one.in_force(), other.in_force());
}
