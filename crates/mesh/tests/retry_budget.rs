//! Budgets that limit the second attempts of all nodes together.

use std::time::Duration;

use quetzalrack_core::time::Moment;
use quetzalrack_mesh::traffic::retry::RetryBudget;

const RATIO: f64 = 0.2;
const WINDOW: Duration = Duration::from_secs(10);
const SLACK: f64 = 64.0;
/// When the processes started, so long ago that their slack is whole.
const STARTED: Moment = Moment(0);

fn at(ms: u64) -> Moment {
    STARTED + WINDOW + Duration::from_millis(ms)
}

fn budgets(nodes: usize, slack: f64) -> Vec<RetryBudget> {
    let new = |_| RetryBudget::new(STARTED, RATIO, WINDOW, slack);
    (0..nodes).map(new).collect()
}

/// Returns the repeated and the allowed calls if every server of a called service refuses half of its calls.
/// A job whose call was refused fails and runs again, and its second run repeats the calls. The repeated
/// calls are the second attempts of calls and the calls of second runs.
fn repeats(nodes: usize, slack: f64) -> (f64, f64) {
    let mut jobs = budgets(nodes, slack);
    let mut calls = jobs.clone();
    let (mut repeats, mut first) = (0_u32, 0_u32);
    for ms in 0..10_000 {
        let node = ms as usize % nodes;
        let now = at(ms);
        jobs[node].deposit(now);
        let runs = 1 + u32::from(jobs[node].withdraw(now, nodes));
        for run in 0..runs {
            calls[node].deposit(now);
            first += u32::from(run == 0);
            repeats += u32::from(run > 0);
            repeats += u32::from(calls[node].withdraw(now, nodes));
        }
    }
    (f64::from(repeats), f64::from(first) * RATIO + slack)
}

#[test]
fn repeated_calls() {
    let (repeats, allowed) = repeats(16, SLACK);
    assert!(repeats <= allowed, "{repeats} repeats, {allowed} allowed");
}

/// The same in a fleet of ninety nodes, which all see their first failures at the same time.
#[test]
fn many_nodes() {
    let (repeats, allowed) = repeats(91, 222.0);
    assert!(repeats <= allowed, "{repeats} repeats, {allowed} allowed");
}

/// Guards against exceeding the budget of a service with several callers at a low request rate. Three
/// services call one that refuses half of its calls, and fail with it. Each uses its own slack for second
/// runs, and all their calls count at the called service, in addition to its own second attempts.
#[test]
fn many_callers() {
    let mut callers: Vec<Vec<RetryBudget>> = (0..3).map(|_| budgets(16, SLACK)).collect();
    let mut called = budgets(16, SLACK);
    let (mut repeats, mut first) = (0_u32, 0_u32);
    for number in 0..400 {
        let (node, now) = (number % 16, at(number as u64 * 25));
        let caller = &mut callers[number / 16 % 3][node];
        caller.deposit(now);
        let runs = 1 + u32::from(caller.withdraw(now, 16));
        for run in 0..runs {
            called[node].deposit(now);
            first += u32::from(run == 0);
            repeats += u32::from(run > 0);
            repeats += u32::from(called[node].withdraw(now, 16));
        }
    }
    let allowed = f64::from(first) * RATIO + SLACK;
    assert!(
        f64::from(repeats) <= allowed,
        "{repeats} repeats, {allowed} allowed"
    );
}

/// Withdrawals older than the window no longer count, so a service that has recovered has its budget again.
#[test]
fn old_withdrawals() {
    let mut budget = RetryBudget::new(STARTED, RATIO, WINDOW, 0.0);
    for ms in 0..100 {
        budget.deposit(at(ms));
    }
    while budget.withdraw(at(100), 1) {}
    assert!(!budget.withdraw(at(101), 1));
    for ms in 10_200..10_300 {
        budget.deposit(at(ms));
    }
    assert!(budget.withdraw(at(10_300), 1));
}
