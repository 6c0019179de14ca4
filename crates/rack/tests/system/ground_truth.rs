//! What the stand-ins notice of tokens.

use std::time::Duration;
use std::time::Instant;

use super::support::Truth;

/// Guards against a check of tokens that notices nothing: whoever gets keys needs a higher token than any
/// other had them with, for each part of its range.
#[test]
fn repeated_token() {
    let truth = Truth::default();
    let past = Instant::now();
    let until = past + Duration::from_secs(1);
    truth.hold("one", &[((100, 300, 5), past)]);
    truth.hold("two", &[((301, 400, 5), past), ((0, 99, 5), past)]);
    truth.hold("one", &[((100, 300, 5), until)]);
    assert_eq!(truth.all_broken(), Vec::<String>::new());
    truth.drop_all("one");
    truth.hold("two", &[((200, 310, 5), until)]);
    let said = "two gets 200 with 5, and one had it with 5".to_owned();
    assert_eq!(truth.all_broken(), vec![said]);
    truth.hold("two", &[((150, 160, 6), until)]);
    assert_eq!(truth.all_broken().len(), 1);
}
