//! Sharing of a narrow link between large and small responses.
#![allow(clippy::unwrap_used)]

use std::collections::VecDeque;

use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::LinkRate;
use quetzalrack_mesh::traffic::link::LinkQueue;
use quetzalrack_mesh::traffic::link::MessageId;

/// Bytes per millisecond at 10 Mbit/s.
const LINK_RATE: f64 = 1_250.0;
const LARGE: usize = 90_000;
const SMALL: usize = 500;

fn at(ms: u64) -> Moment {
    Moment((1_000 + ms) * 1_000_000)
}

fn queue() -> LinkQueue {
    LinkQueue::new(LinkRate::from_megabits(10.0).unwrap())
}

/// A simulated link: written bytes wait in one queue and leave it at the link's rate.
#[derive(Default)]
struct Link {
    queued: f64,
    longest: f64,
}

impl Link {
    fn write(&mut self, bytes: usize) {
        self.queued += bytes as f64;
        self.longest = self.longest.max(self.queued);
    }

    fn drain(&mut self) {
        self.queued = (self.queued - LINK_RATE).max(0.0);
    }
}

/// Guards against small responses that wait behind large ones. Sixteen downloads are answered at the same
/// moment. Written at once they would occupy the link for more than a second, and every small response would
/// wait that long, with the work of another server that depends on it.
#[test]
fn small_responses() {
    let mut queue = queue();
    let mut link = Link::default();
    let mut large: VecDeque<(MessageId, usize)> = (0..16).map(|_| (queue.add(), LARGE)).collect();
    let (mut finished, mut ms) = (Vec::new(), 0);
    while !large.is_empty() {
        if ms % 10 == 0 {
            queue.record_written(at(ms), SMALL);
            link.write(SMALL);
        }
        for (message, left) in &mut large {
            while *left > 0
                && let Some(allowed) = queue.request_write(at(ms), *message)
            {
                let bytes = allowed.min(*left);
                queue.record_written(at(ms), bytes);
                link.write(bytes);
                *left -= bytes;
            }
        }
        while large.front().is_some_and(|(_, left)| *left == 0) {
            let (message, _) = large.pop_front().unwrap();
            queue.remove(message);
            finished.push(ms);
        }
        link.drain();
        ms += 1;
    }
    let delay = link.longest / LINK_RATE;
    assert!(
        delay < 25.0,
        "a small response waits {delay} ms at the link"
    );
    // The first download ends after its own time, not after that of all.
    assert!(finished[0] < 120, "{finished:?}");
    let bytes = 16 * LARGE + SMALL * ms as usize / 10;
    let used = bytes as f64 / ms as f64 / LINK_RATE;
    assert!(used > 0.85, "{used} of the link was used");
}

/// The receiver of the first response reads nothing for a while: the next response continues.
#[test]
fn slow_receiver() {
    let mut queue = queue();
    let (first, second) = (queue.add(), queue.add());
    assert!(queue.request_write(at(0), first).is_some());
    assert!(queue.request_write(at(0), second).is_none());
    queue.remove(first);
    assert!(queue.request_write(at(0), second).is_some());
    // It reads again, and its response is the earlier one.
    assert!(queue.request_write(at(0), first).is_some());
    assert_eq!(queue.next(at(0)).unwrap().0, first);
}
