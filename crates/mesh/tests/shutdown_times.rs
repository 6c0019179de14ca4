//! What a process that shuts down still takes and passes on.

use std::time::Duration;

use quetzalrack_core::time::Moment;
use quetzalrack_mesh::traffic::ShutdownTimes;

fn at(ms: u64) -> Moment {
    Moment((10_000 + ms) * 1_000_000)
}

fn times(grace_ms: u64) -> ShutdownTimes {
    ShutdownTimes::new(at(0), Duration::from_millis(grace_ms))
}

#[test]
fn taken_requests() {
    let times = times(6_000);
    assert!(times.is_taken(at(2_299), at(60_000)));
    assert!(!times.is_taken(at(2_300), at(5_401)));
    assert!(times.is_taken(at(2_300), at(5_400)));
    assert!(times.is_taken(at(5_000), at(5_400)));
}

/// Guards against requests of peers that outlast the process which took them.
#[test]
fn taken_from_peers() {
    let times = times(6_000);
    assert!(times.is_taken_from_peer(at(2_299), at(60_000)));
    assert!(!times.is_taken_from_peer(at(2_300), at(5_401)));
    assert!(times.is_taken_from_peer(at(2_799), at(5_400)));
    assert!(!times.is_taken_from_peer(at(2_800), at(3_000)));
}

/// Guards against requests that are taken in time, are passed on late and outlast their process.
#[test]
fn sent_requests() {
    let times = times(6_000);
    assert!(times.may_send(at(2_999), at(60_000)));
    assert!(!times.may_send(at(3_000), at(5_401)));
    assert!(times.may_send(at(5_000), at(5_400)));
}

#[test]
fn order_of_moments() {
    for grace_ms in [4_000, 6_000, 20_000, 60_000] {
        let times = times(grace_ms);
        let last_sending = times.last_sending(at(100_000)).into_iter();
        let moments: Vec<Moment> = [at(0), times.clients_closed()]
            .into_iter()
            .chain(last_sending)
            .chain([times.last_response(), times.end(), at(grace_ms)])
            .collect();
        assert!(moments.is_sorted(), "{moments:?}");
    }
}

#[test]
fn retry_after_exit() {
    assert_eq!(
        times(6_000).retry_after(at(4_000)),
        Duration::from_millis(2_000)
    );
    assert_eq!(times(6_000).retry_after(at(7_000)), Duration::ZERO);
}
