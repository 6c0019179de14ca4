//! The check of fencing tokens in the stand-ins.

use std::time::Duration;
use std::time::Instant;

use super::support::Truth;

/// Guards against a check of tokens that misses a violation: for each part of a range, a new holder needs a
/// higher token than every other holder had.
#[test]
fn repeated_token() {
    let truth = Truth::default();
    let expired = Instant::now();
    let until = expired + Duration::from_secs(1);
    truth.hold("one", &[((100, 300, 5), expired)]);
    truth.hold("two", &[((301, 400, 5), expired), ((0, 99, 5), expired)]);
    truth.hold("one", &[((100, 300, 5), until)]);
    assert_eq!(truth.violations(), Vec::<String>::new());
    truth.drop_all("one");
    truth.hold("two", &[((200, 310, 5), until)]);
    let violation = "two gets 200 with 5, and one had it with 5".to_owned();
    assert_eq!(truth.violations(), vec![violation]);
    truth.hold("two", &[((150, 160, 6), until)]);
    assert_eq!(truth.violations().len(), 1);
}
