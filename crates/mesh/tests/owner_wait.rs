//! Waits of requests for the next owner of their keys.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::KeyRange;
use quetzalrack_mesh::ownership::Directory;
use quetzalrack_mesh::traffic::owner_wait::OwnerWait;

const TIME_LEFT: Duration = Duration::from_millis(1_500);

fn at(ms: u64) -> Moment {
    Moment((1_000 + ms) * 1_000_000)
}

fn service() -> ServiceName {
    "keyed".parse().unwrap()
}

/// Guards against holding every request while no key has an owner. After a start of all processes no key has
/// one for three seconds, and each of two hundred requests per second was held for 350 ms and then refused.
/// Only requests before the first timed-out wait are held.
#[test]
fn no_owners() {
    let mut waits = OwnerWait::default();
    let directory = Directory::default();
    let (mut held, mut pending) = (0, Vec::new());
    for ms in (0..3_000).step_by(5) {
        pending.retain(|(end, key, max_wait)| {
            let over = *end <= ms;
            if over {
                waits.record_timeout(at(ms), &directory, &service(), *key, *max_wait);
            }
            !over
        });
        let key = u16::try_from(ms * 21 % 65_536).unwrap();
        let max_wait = waits.max_wait(at(ms), &directory, &service(), key, TIME_LEFT);
        if max_wait > Duration::ZERO {
            held += 1;
            pending.push((
                ms + u64::try_from(max_wait.as_millis()).unwrap(),
                key,
                max_wait,
            ));
        }
    }
    assert!(held <= 350 / 5 + 1, "{held} of 600 requests were held");
}

/// A host is lost while another range moves. Requests for the lost host's keys stop waiting; requests for
/// the moving range still wait, since it has its next owner soon.
#[test]
fn some_owners() {
    let mut waits = OwnerWait::default();
    let keys = KeyRange::new(0, 9_999).unwrap();
    let mut directory = Directory::default();
    let ranges = vec![(keys, "node".parse().unwrap())];
    directory.owners.insert(service(), ranges);
    let max_wait = waits.max_wait(at(0), &directory, &service(), 20_000, TIME_LEFT);
    waits.record_timeout(at(350), &directory, &service(), 20_000, max_wait);
    let lost = waits.max_wait(at(360), &directory, &service(), 20_010, TIME_LEFT);
    let moving = waits.max_wait(at(360), &directory, &service(), 40_000, TIME_LEFT);
    assert_eq!((lost, moving), (Duration::ZERO, Duration::from_millis(350)));
    // The owners change, and the lost keys may have one now.
    directory.owners_version += 1;
    let again = waits.max_wait(at(400), &directory, &service(), 20_010, TIME_LEFT);
    assert_eq!(again, Duration::from_millis(350));
}
