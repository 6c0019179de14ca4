//! How long answers share a narrow link with short ones.
#![allow(clippy::unwrap_used)]

use std::collections::VecDeque;

use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::LinkRate;
use quetzalrack_mesh::traffic::link::LinkQueue;
use quetzalrack_mesh::traffic::link::MessageId;

/// Bytes a millisecond at 10 Mbit/s.
const LINK: f64 = 1_250.0;
const LONG: usize = 90_000;
const SHORT: usize = 500;

fn at(ms: u64) -> Moment {
    Moment((1_000 + ms) * 1_000_000)
}

fn queue() -> LinkQueue {
    LinkQueue::new(LinkRate::from_megabits(10.0).unwrap())
}

/// Plays the link: what is written waits in one queue and leaves it at the link's rate.
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

    fn pass(&mut self) {
        self.queued = (self.queued - LINK).max(0.0);
    }
}

/// Sixteen downloads are answered at the same moment, while short answers go on. Written at once
/// the downloads would keep the link busy for more than a second, and every short answer with it,
/// on each of which another server's work waits.
#[test]
fn short_answers() {
    let mut queue = queue();
    let mut link = Link::default();
    let mut long: VecDeque<(MessageId, usize)> = (0..16).map(|_| (queue.add(), LONG)).collect();
    let (mut finished, mut ms) = (Vec::new(), 0);
    while !long.is_empty() {
        if ms % 10 == 0 {
            queue.record_written(at(ms), SHORT);
            link.write(SHORT);
        }
        for (turn, left) in &mut long {
            while *left > 0
                && let Some(allowed) = queue.request_write(at(ms), *turn)
            {
                let piece = allowed.min(*left);
                queue.record_written(at(ms), piece);
                link.write(piece);
                *left -= piece;
            }
        }
        while long.front().is_some_and(|(_, left)| *left == 0) {
            let (turn, _) = long.pop_front().unwrap();
            queue.remove(turn);
            finished.push(ms);
        }
        link.pass();
        ms += 1;
    }
    let delay = link.longest / LINK;
    assert!(delay < 25.0, "a short answer waits {delay} ms at the link");
    // The first is done after its own time, not after everyone's.
    assert!(finished[0] < 120, "{finished:?}");
    let bytes = 16 * LONG + SHORT * ms as usize / 10;
    let used = bytes as f64 / ms as f64 / LINK;
    assert!(used > 0.85, "{used} of the link was used");
}

/// The receiver of the first answer takes nothing for a while: the next one goes on.
#[test]
fn slow_receiver() {
    let mut queue = queue();
    let (first, second) = (queue.add(), queue.add());
    assert!(queue.request_write(at(0), first).is_some());
    assert!(queue.request_write(at(0), second).is_none());
    queue.remove(first);
    assert!(queue.request_write(at(0), second).is_some());
    // It takes bytes again, and its turn is the earlier one.
    assert!(queue.request_write(at(0), first).is_some());
    assert_eq!(queue.next(at(0)).unwrap().0, first);
}
