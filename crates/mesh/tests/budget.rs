//! What others make a process hold stays within its budget.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::ByteSize;
use quetzalrack_mesh::model::ProcessLimits;
use quetzalrack_mesh::traffic::budget::Budget;
use quetzalrack_mesh::traffic::budget::BudgetPlan;
use quetzalrack_mesh::traffic::budget::HolderId;
use quetzalrack_mesh::traffic::budget::Kind;
use quetzalrack_mesh::traffic::budget::Share;
use quetzalrack_mesh::traffic::budget::WorkShares;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// What a body grows by.
const BLOCK: u64 = 64 * 1024;

fn at(millis: u64) -> Moment {
    Moment::default() + Duration::from_millis(millis)
}

/// Makes a budget of ten blocks, eight of them for large bodies, and three connections of any kind.
fn budget() -> Budget {
    let bodies = Share {
        bytes: 10 * BLOCK,
        large_bytes: 8 * BLOCK,
        holders: usize::MAX,
    };
    let connections = Share {
        holders: 3,
        ..bodies
    };
    let plan = BudgetPlan::default()
        .with_bodies(Share {
            bytes: 14 * BLOCK,
            large_bytes: 12 * BLOCK,
            ..bodies
        })
        .with(Kind::Client, connections)
        .with(Kind::Peer, connections)
        .with(Kind::Request, bodies)
        .with(Kind::Response, bodies);
    Budget::new(plan)
}

fn open(budget: &mut Budget, millis: u64, kind: Kind) -> HolderId {
    let (id, evicted) = budget.open(at(millis), kind).unwrap();
    assert_eq!(evicted, None);
    id
}

/// Opens a body of so many blocks.
fn body(budget: &mut Budget, millis: u64, blocks: u64) -> HolderId {
    let id = open(budget, millis, Kind::Request);
    for _ in 0..blocks {
        let verdict = budget.grow(at(millis), id, BLOCK);
        assert!(verdict.is_granted && verdict.evicted.is_empty());
    }
    id
}

/// Guards against a refusal in calm: one body of 64 MiB, the largest that clients may send, or a response of
/// 32 MiB, on the smallest host.
#[test]
fn largest_body() {
    let limits = ProcessLimits {
        memory: ByteSize::from_megabytes(160),
        descriptors: 4_100,
    };
    let mut budget = Budget::new(BudgetPlan::traffic(limits));
    body(&mut budget, 0, 1_024);
    assert_eq!(budget.bytes(Kind::Request), 64 * 1024 * 1024);
    let mut budget = Budget::new(BudgetPlan::traffic(limits));
    let response = open(&mut budget, 0, Kind::Response);
    for _ in 0..512 {
        assert!(budget.grow(at(0), response, BLOCK).is_granted);
    }
}

/// Guards against bodies of both directions that fit apart and not together.
#[test]
fn both_directions() {
    let mut budget = budget();
    let unread = open(&mut budget, 0, Kind::Response);
    for _ in 0..6 {
        assert!(budget.grow(at(0), unread, BLOCK).is_granted);
    }
    let request = body(&mut budget, 1, 6);
    assert!(!budget.grow(at(2), request, BLOCK).is_granted);
    let verdict = budget.grow(at(2_000), request, BLOCK);
    assert!(verdict.is_granted);
    assert_eq!(verdict.evicted, [unread]);
}

/// All shares together leave a seventh of the memory and a tenth of the sockets to the process itself.
#[test]
fn shares_sum() {
    for megabytes in [160, 260, 512] {
        let limits = ProcessLimits {
            memory: ByteSize::from_megabytes(megabytes),
            descriptors: 4_100,
        };
        let (traffic, control) = (BudgetPlan::traffic(limits), BudgetPlan::control(limits));
        let connections =
            [Kind::Client, Kind::Peer, Kind::Work].map(|kind| traffic.share(kind).bytes);
        let control = Kind::ALL.map(|kind| control.share(kind).bytes);
        let sum = connections.iter().chain(&control).sum::<u64>() + traffic.bodies().bytes;
        assert!(
            sum * 100 <= limits.memory.0 * 87,
            "{sum} of {}",
            limits.memory
        );
        let sockets = [Kind::Client, Kind::Peer].map(|kind| traffic.share(kind).holders);
        let sum = sockets.iter().sum::<usize>() + BudgetPlan::outgoing_connections(limits);
        assert!(sum < 3_900 * 90 / 100, "{sum} sockets");
    }
}

/// Guards against bodies that stop short and keep the room from others: what stands still for long gives way.
#[test]
fn stalled_first() {
    let mut budget = budget();
    let stalled = body(&mut budget, 0, 5);
    let moving = body(&mut budget, 10, 2);
    assert!(budget.grow(at(2_000), moving, BLOCK).is_granted);
    let verdict = budget.grow(at(2_100), moving, BLOCK);
    assert!(verdict.is_granted);
    assert_eq!(verdict.evicted, [stalled]);
}

/// Guards against bodies that all grow and all fail: the oldest gets to its end.
#[test]
fn oldest_ends() {
    let mut budget = budget();
    let oldest = body(&mut budget, 0, 4);
    let younger = body(&mut budget, 1, 4);
    let verdict = budget.grow(at(2), oldest, BLOCK);
    assert!(verdict.is_granted);
    assert_eq!(verdict.evicted, [younger]);
    let newest = open(&mut budget, 3, Kind::Request);
    for _ in 0..3 {
        assert!(budget.grow(at(3), newest, BLOCK).is_granted);
    }
    assert_eq!(budget.grow(at(4), newest, BLOCK), Default::default());
}

/// Guards against large bodies that crowd out small ones.
#[test]
fn small_bodies() {
    let mut budget = budget();
    body(&mut budget, 0, 8);
    for _ in 0..8 {
        let small = open(&mut budget, 1, Kind::Request);
        assert!(budget.grow(at(1), small, 16 * 1024).is_granted);
    }
    let large = open(&mut budget, 1, Kind::Request);
    assert!(!budget.grow(at(1), large, BLOCK).is_granted);
}

/// Guards against work that is broken off for a newcomer: what waits for this process stays.
#[test]
fn running_stays() {
    let mut budget = budget();
    let running = body(&mut budget, 0, 8);
    budget.set_waiting(at(1), running, false);
    let other = open(&mut budget, 2, Kind::Request);
    assert!(!budget.grow(at(9_000), other, BLOCK).is_granted);
}

/// Guards against connections that nobody uses and that keep others out: the quietest one gives way.
#[test]
fn quietest_connection() {
    let mut budget = budget();
    let ids = [0, 1, 2].map(|millis| open(&mut budget, millis, Kind::Client));
    budget.record_progress(at(3), ids[0]);
    budget.set_waiting(at(1), ids[1], false);
    let (newest, evicted) = budget.open(at(4), Kind::Client).unwrap();
    assert_eq!(evicted, Some(ids[2]));
    for id in [ids[0], newest] {
        budget.set_waiting(at(5), id, false);
    }
    assert_eq!(budget.open(at(6), Kind::Client), None);
    assert_eq!(budget.holders(Kind::Client), 3);
    // Another kind has its own share.
    open(&mut budget, 7, Kind::Peer);
}

/// What an evicted body holds until it has ended counts for nobody a second time.
#[test]
fn evicted_bytes() {
    let mut budget = budget();
    let stalled = body(&mut budget, 0, 8);
    let next = body(&mut budget, 1, 0);
    for _ in 0..8 {
        assert!(budget.grow(at(2_000), next, BLOCK).is_granted);
    }
    assert!(!budget.grow(at(2_000), next, BLOCK).is_granted);
    budget.release(Kind::Request, 8 * BLOCK);
    budget.close(stalled);
    assert_eq!(budget.bytes(Kind::Request), 8 * BLOCK);
    assert!(!budget.grow(at(2_000), next, BLOCK).is_granted);
}

/// Guards against requests for one service that doesn't answer and that keep out all others.
#[test]
fn one_service() {
    let mut work = WorkShares::new(10 * 24 * 1024);
    let (slow, other) = ("slow".parse().unwrap(), "other".parse().unwrap());
    for _ in 0..5 {
        assert!(work.begin(&slow));
    }
    assert!(!work.begin(&slow));
    for _ in 0..5 {
        assert!(work.begin(&other));
    }
    assert!(!work.begin(&other));
    work.end(&slow);
    assert!(work.begin(&slow));
    assert_eq!(work.bytes(), 10 * 24 * 1024);
}

/// Guards against a sum that grows beyond the share, whatever is opened, grows, stands still, runs and ends.
#[test]
fn any_order() {
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut budget = budget();
        let mut held: Vec<(HolderId, u64)> = Vec::new();
        let mut now = 0;
        for _ in 0..400 {
            now += random.random_range(0..400);
            match random.random_range(0..6) {
                0 => held.push((open(&mut budget, now, Kind::Request), 0)),
                1 if !held.is_empty() => {
                    let (id, bytes) = held.swap_remove(random.random_range(0..held.len()));
                    budget.release(Kind::Request, bytes);
                    budget.close(id);
                }
                2 if !held.is_empty() => {
                    let (id, _) = held[random.random_range(0..held.len())];
                    budget.set_waiting(at(now), id, random.random());
                }
                _ if !held.is_empty() => {
                    let index = random.random_range(0..held.len());
                    let bytes = random.random_range(1..=BLOCK);
                    let verdict = budget.grow(at(now), held[index].0, bytes);
                    held[index].1 += u64::from(verdict.is_granted) * bytes;
                    for (id, bytes) in held.extract_if(.., |(id, _)| verdict.evicted.contains(id)) {
                        budget.release(Kind::Request, bytes);
                        budget.close(id);
                    }
                }
                _ => {}
            }
            let sum: u64 = held.iter().map(|(_, bytes)| bytes).sum();
            assert_eq!(budget.bytes(Kind::Request), sum, "seed {seed}");
            assert!(sum <= 10 * BLOCK, "seed {seed}: {sum}");
            assert_eq!(budget.holders(Kind::Request), held.len(), "seed {seed}");
        }
    }
}
