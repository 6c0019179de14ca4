//! The gate lets no key run twice.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::IdempotencyKey;
use quetzalrack_core::ids::Sequence;
use quetzalrack_core::ids::SliceId;
use quetzalrack_core::time::WallTime;
use quetzalrack_core::traffic::idempotency::ExecutionOutcome;
use quetzalrack_core::traffic::idempotency::IdempotencyDecision;
use quetzalrack_core::traffic::idempotency::IdempotencySettings;
use quetzalrack_core::traffic::idempotency::IdempotencyState;
use quetzalrack_core::traffic::idempotency::IdempotencyStore;
use quetzalrack_core::traffic::idempotency::RequestDigest;
use quetzalrack_core::traffic::idempotency::StoredResponse;
use quetzalrack_core::traffic::refusal::RefusalCode;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

const START: u64 = 1_790_000_000_000;

fn slice() -> SliceId {
    "orders/3".parse().unwrap()
}

fn fence(sequence: u64) -> Fence {
    Fence {
        sequence: Sequence(sequence),
        ..Fence::default()
    }
}

fn key(at: u64, random: &mut ChaCha8Rng) -> IdempotencyKey {
    let bytes = random.random();
    IdempotencyKey(uuid::Builder::from_unix_timestamp_millis(at, &bytes).into_uuid())
}

fn digest(body: &str) -> RequestDigest {
    RequestDigest::of("POST", "/orders/7", body.as_bytes())
}

fn answer(size: usize) -> StoredResponse {
    StoredResponse {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from(vec![1; size]),
    }
}

fn random() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(3)
}

fn ready(settings: IdempotencySettings) -> IdempotencyStore {
    let mut gate = IdempotencyStore::new(settings);
    gate.add_slice(WallTime(START), &slice(), fence(1), None);
    gate
}

#[test]
fn whole_life() {
    let mut gate = ready(IdempotencySettings::default());
    let key = key(START + 5_000, &mut random());
    let now = WallTime(START + 5_010);
    let admit =
        |gate: &mut IdempotencyStore, body| gate.admit(now, &slice(), fence(1), key, digest(body));
    assert_eq!(admit(&mut gate, "a"), IdempotencyDecision::Run);
    assert_eq!(
        admit(&mut gate, "a"),
        IdempotencyDecision::Refuse(RefusalCode::StillRunning)
    );
    assert_eq!(
        admit(&mut gate, "b"),
        IdempotencyDecision::Refuse(RefusalCode::KeyReused)
    );
    gate.finish(
        &slice(),
        fence(1),
        key,
        ExecutionOutcome::Answered(answer(10)),
    );
    assert_eq!(
        admit(&mut gate, "a"),
        IdempotencyDecision::Replay(answer(10))
    );
    assert_eq!(
        admit(&mut gate, "b"),
        IdempotencyDecision::Refuse(RefusalCode::KeyReused)
    );
}

#[test]
fn odd_keys() {
    let mut gate = ready(IdempotencySettings::default());
    let now = WallTime(START + 5_000);
    let mut admit = |key| gate.admit(now, &slice(), fence(1), key, digest("a"));
    let random_key = IdempotencyKey(Uuid::from_u128(0x1234_4000_8000 << 60));
    assert_eq!(
        admit(random_key),
        IdempotencyDecision::Refuse(RefusalCode::KeyRequired)
    );
    let ahead = key(START + 6_000, &mut random());
    assert_eq!(
        admit(ahead),
        IdempotencyDecision::Refuse(RefusalCode::KeyAhead)
    );
    let old = key(START + 900, &mut random());
    assert_eq!(
        admit(old),
        IdempotencyDecision::Refuse(RefusalCode::OutcomeUnknown)
    );
}

#[test]
fn wrong_fence() {
    let mut gate = ready(IdempotencySettings::default());
    let key = key(START + 5_000, &mut random());
    let now = WallTime(START + 5_000);
    let decision = gate.admit(now, &slice(), fence(2), key, digest("a"));
    assert_eq!(decision, IdempotencyDecision::Refuse(RefusalCode::NotOwner));
}

/// The kept answers outgrow the memory, then the window passes: what was forgotten is refused as
/// unknown, whichever key is asked for. None runs again.
#[test]
fn bounded_memory() {
    let settings = IdempotencySettings {
        memory_limit: 100_000,
        ..IdempotencySettings::default()
    };
    let mut gate = ready(settings);
    let mut random = random();
    let mut keys = Vec::new();
    for n in 0..1_000 {
        let at = START + 5_000 + n * 10;
        let key = key(at, &mut random);
        let decision = gate.admit(WallTime(at), &slice(), fence(1), key, digest("a"));
        assert_eq!(decision, IdempotencyDecision::Run);
        gate.finish(
            &slice(),
            fence(1),
            key,
            ExecutionOutcome::Answered(answer(1_000)),
        );
        assert!(gate.size() < 102_000, "{}", gate.size());
        keys.push(key);
    }
    let later = WallTime(START + 20_000);
    let mut unknown = 0;
    for key in &keys {
        match gate.admit(later, &slice(), fence(1), *key, digest("a")) {
            IdempotencyDecision::Replay(_) => {}
            IdempotencyDecision::Refuse(RefusalCode::OutcomeUnknown) => unknown += 1,
            other => panic!("{other:?}"),
        }
    }
    assert!(unknown > 800 && unknown < 1_000, "{unknown}");
    let much_later = WallTime(START + 3_600_000);
    let decision = gate.admit(much_later, &slice(), fence(1), keys[999], digest("a"));
    assert_eq!(
        decision,
        IdempotencyDecision::Refuse(RefusalCode::OutcomeUnknown)
    );
    assert_eq!(gate.size(), 0);
}

#[test]
fn too_large() {
    let mut gate = ready(IdempotencySettings::default());
    let key = key(START + 5_000, &mut random());
    let now = WallTime(START + 5_000);
    gate.admit(now, &slice(), fence(1), key, digest("a"));
    gate.finish(
        &slice(),
        fence(1),
        key,
        ExecutionOutcome::Answered(answer(100_000)),
    );
    let decision = gate.admit(now, &slice(), fence(1), key, digest("a"));
    assert_eq!(
        decision,
        IdempotencyDecision::Refuse(RefusalCode::OutcomeNotKept)
    );
}

/// Plays one schedule: gates come and go, some hand their memory over and some are lost, their
/// clocks differ by up to half a second and so do the callers'. Callers send every key several
/// times. Returns how many keys ran, and how many of them twice.
fn play(seed: u64, settings: IdempotencySettings) -> (usize, usize) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut runs = BTreeMap::<IdempotencyKey, u32>::new();
    let mut keys: Vec<IdempotencyKey> = Vec::new();
    let mut now = START;
    let mut sequence = 1;
    let mut skew = random.random_range(0..500);
    let mut gate = IdempotencyStore::new(settings);
    gate.add_slice(WallTime(now + skew), &slice(), fence(1), None);
    for _ in 0..400 {
        now += random.random_range(0..40);
        if random.random_bool(0.02) {
            let memory = gate.remove_slice(&slice(), fence(sequence));
            let handed = memory
                .filter(|_| random.random_bool(0.5))
                .map(|memory| IdempotencyState::decode(&memory.encode().unwrap()).unwrap());
            sequence += 1;
            skew = random.random_range(0..500);
            gate = IdempotencyStore::new(settings);
            gate.add_slice(WallTime(now + skew), &slice(), fence(sequence), handed);
        }
        let key = match !keys.is_empty() && random.random_bool(0.6) {
            true => keys[random.random_range(0..keys.len())],
            false => key(now + random.random_range(0..900), &mut random),
        };
        keys.push(key);
        let wall = WallTime(now + skew);
        let decision = gate.admit(wall, &slice(), fence(sequence), key, digest("a"));
        if decision != IdempotencyDecision::Run {
            continue;
        }
        *runs.entry(key).or_default() += 1;
        let end = match random.random_range(0..4) {
            0 => ExecutionOutcome::Unknown,
            1 => ExecutionOutcome::Failed,
            // Still running when the gate goes.
            2 => continue,
            _ => ExecutionOutcome::Answered(answer(10)),
        };
        gate.finish(&slice(), fence(sequence), key, end);
    }
    let twice = runs.values().filter(|count| **count > 1).count();
    (runs.len(), twice)
}

/// Over 300 schedules no key runs twice.
#[test]
fn never_twice() {
    let played: Vec<_> = (0..300)
        .map(|seed| play(seed, IdempotencySettings::default()))
        .collect();
    let ran: usize = played.iter().map(|played| played.0).sum();
    assert!(ran > 10_000, "{ran}");
    assert!(played.iter().all(|played| played.1 == 0), "{played:?}");
}

/// Without the allowance for the difference of two nodes' clocks the same schedules run keys twice,
/// so they do reach what the allowance is for.
#[test]
fn drift_matters() {
    let settings = IdempotencySettings {
        clock_drift: Duration::ZERO,
        ..IdempotencySettings::default()
    };
    let twice: usize = (0..300).map(|seed| play(seed, settings).1).sum();
    assert!(twice > 0);
}

/// A handover that lasts: what was running is unknown to the new owner, and floor and answers are
/// the old owner's.
#[test]
fn handed_over() {
    let mut gate = ready(IdempotencySettings::default());
    let mut random = random();
    let now = WallTime(START + 5_000);
    let done = key(START + 5_000, &mut random);
    let running = key(START + 5_000, &mut random);
    for key in [done, running] {
        gate.admit(now, &slice(), fence(1), key, digest("a"));
    }
    gate.finish(
        &slice(),
        fence(1),
        done,
        ExecutionOutcome::Answered(answer(10)),
    );
    let memory = gate
        .remove_slice(&slice(), fence(1))
        .unwrap()
        .encode()
        .unwrap();
    let mut next = IdempotencyStore::new(IdempotencySettings::default());
    let memory = IdempotencyState::decode(&memory).unwrap();
    next.add_slice(now, &slice(), fence(2), Some(memory));
    let decision = next.admit(now, &slice(), fence(2), done, digest("a"));
    assert_eq!(decision, IdempotencyDecision::Replay(answer(10)));
    let decision = next.admit(now, &slice(), fence(2), running, digest("a"));
    assert_eq!(
        decision,
        IdempotencyDecision::Refuse(RefusalCode::OutcomeUnknown)
    );
    let fresh = next.admit(
        now,
        &slice(),
        fence(2),
        key(START + 5_001, &mut random),
        digest("a"),
    );
    assert_eq!(fresh, IdempotencyDecision::Run);
    assert!(IdempotencyState::decode(b"nonsense").is_err());
}
