//! How long requests wait for the next owner of their keys.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::KeyRange;
use quetzalrack_mesh::ownership::Directory;
use quetzalrack_mesh::traffic::owner_wait::OwnerWait;

const LEFT: Duration = Duration::from_millis(1_500);

fn at(ms: u64) -> Moment {
    Moment((1_000 + ms) * 1_000_000)
}

fn service() -> ServiceName {
    "keyed".parse().unwrap()
}

/// All processes have started anew and no key has an owner for three seconds. Each of two hundred
/// requests a second was held for 350 ms and refused; now only those before the first wait in vain are.
#[test]
fn nobody_owns() {
    let mut waits = OwnerWait::default();
    let directory = Directory::default();
    let (mut held, mut vain) = (0, Vec::new());
    for ms in (0..3_000).step_by(5) {
        vain.retain(|(end, key, span)| {
            let over = *end <= ms;
            if over {
                waits.record_timeout(at(ms), &directory, &service(), *key, *span);
            }
            !over
        });
        let key = u16::try_from(ms * 21 % 65_536).unwrap();
        let span = waits.max_wait(at(ms), &directory, &service(), key, LEFT);
        if span > Duration::ZERO {
            held += 1;
            vain.push((ms + u64::try_from(span.as_millis()).unwrap(), key, span));
        }
    }
    assert!(held <= 350 / 5 + 1, "{held} of 600 requests were held");
}

/// One host is lost, and another range moves. Requests for the lost host's keys stop waiting; those for
/// the range that moves go on, since it has its next owner in a moment.
#[test]
fn some_own() {
    let mut waits = OwnerWait::default();
    let keys = KeyRange::new(0, 9_999).unwrap();
    let mut directory = Directory::default();
    let rows = vec![(keys, "node".parse().unwrap())];
    directory.owners.insert(service(), rows);
    let span = waits.max_wait(at(0), &directory, &service(), 20_000, LEFT);
    waits.record_timeout(at(350), &directory, &service(), 20_000, span);
    let lost = waits.max_wait(at(360), &directory, &service(), 20_010, LEFT);
    let moving = waits.max_wait(at(360), &directory, &service(), 40_000, LEFT);
    assert_eq!((lost, moving), (Duration::ZERO, Duration::from_millis(350)));
    // The owners change: the lost keys may be among what was given away.
    directory.owners_version += 1;
    let again = waits.max_wait(at(400), &directory, &service(), 20_010, LEFT);
    assert_eq!(again, Duration::from_millis(350));
}
