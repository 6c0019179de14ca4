//! Appends operators' orders directly to the log.

use quetzalrack_core::boundary::Stream;
use quetzalrack_core::ids::DocumentDigest;
use quetzalrack_core::ids::RecordId;
use quetzalrack_core::ids::Version;
use quetzalrack_core::intent::LogRecord;
use quetzalrack_core::intent::Order;
use quetzalrack_core::intent::OrderBody;
use quetzalrack_core::intent::SignedOrder;
use quetzalrack_core::intent::Stage;
use quetzalrack_core::time::WallTime;
use uuid::Uuid;

use super::MemoryLog;
use super::keys;

const ANDINA: &str = include_str!("../../../../examples/andina.json");

/// Publishes the example document of Andina and promotes it to production.
pub fn publish_andina(log: &MemoryLog) {
    let digest = DocumentDigest::of(ANDINA.as_bytes());
    put(
        log,
        &order_record(Order::Publish { digest }, 0, Some(ANDINA)),
    );
    put(log, &order_record(Order::Promote { digest }, 0, None));
}

/// Takes a zone out of service in production, as the order after `base`.
pub fn zone_out(log: &MemoryLog, zone: &str, base: u64) {
    put(log, &zone_out_record(zone, base));
}

/// Returns the record that takes a zone out of service in production.
pub fn zone_out_record(zone: &str, base: u64) -> Vec<u8> {
    let order = Order::ZoneOut {
        stage: Stage::Production,
        zone: zone.parse().unwrap(),
    };
    order_record(order, base, None)
}

fn put(log: &MemoryLog, record: &[u8]) {
    log.put(&Stream::Intent("andina".parse().unwrap()), record.to_vec());
}

fn order_record(order: Order, base: u64, document: Option<&str>) -> Vec<u8> {
    let body = OrderBody {
        id: RecordId(Uuid::new_v4()),
        environment: "andina".parse().unwrap(),
        base: Version(base),
        operator: "tester".parse().unwrap(),
        why: "a test".to_owned(),
        at: WallTime(0),
        order,
    };
    let signed = SignedOrder::sign(&body, document.map(str::to_owned), &keys()).unwrap();
    LogRecord::Order(signed).to_data().unwrap()
}
