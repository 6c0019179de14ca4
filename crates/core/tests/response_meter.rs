//! Bounds on what a server sends as one response.

use quetzalrack_core::traffic::ResponseBounds;
use quetzalrack_core::traffic::ResponseMeter;

const BOUNDS: ResponseBounds = ResponseBounds {
    unused_bytes: 100,
    body_bytes: Some(1_000),
};

/// Guards against bytes that are dropped without a bound.
#[test]
fn unused_bytes() {
    let mut meter = ResponseMeter::new(BOUNDS);
    meter.record_read(100);
    assert!(!meter.is_exceeded());
    meter.record_read(1);
    assert!(meter.is_exceeded());
    meter.start();
    assert!(!meter.is_exceeded());
}

/// Guards against a long response that is taken for one without end while its body grows.
#[test]
fn growing_body() {
    let mut meter = ResponseMeter::new(ResponseBounds {
        body_bytes: None,
        ..BOUNDS
    });
    for _ in 0..1_000 {
        meter.record_read(100);
        assert!(!meter.is_exceeded());
        meter.record_body(90);
    }
}

/// Guards against a body that is kept whole without a bound.
#[test]
fn body_bytes() {
    let mut meter = ResponseMeter::new(BOUNDS);
    meter.record_body(1_000);
    assert!(!meter.is_exceeded());
    meter.record_body(1);
    assert!(meter.is_exceeded());
    meter.record_body(usize::MAX);
    meter.record_read(usize::MAX);
    assert!(meter.is_exceeded());
}
