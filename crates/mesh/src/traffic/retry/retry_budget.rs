//! The budget of second attempts.

use std::collections::VecDeque;
use std::time::Duration;

use quetzalrack_core::time::Moment;

/// The part of the allowed ratio that is used. A second attempt makes the calls of its run a second
/// time, and these count at the called service; its requests include the first calls, so with half
/// of the ratio for each both together stay within it.
const USED: f64 = 0.45;
/// The part of the common slack that all nodes together take, for the first failures at each. The
/// calls of second runs count as well, of three services that call a fourth: with a fifth for each of
/// the four, all together stay within it.
const SLACK_USED: f64 = 0.2;

/// Bounds the second attempts at a service by a share of this node's own requests that reached a server
/// of it.
///
/// Every node keeps below the share, so all together do, without asking one another. Requests that are
/// refused before a server has seen them pay for nothing: under overload they are half of all, second
/// runs were then 17 in 100 of first ones in place of 9, and so were the calls that these make again.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    window: Duration,
    slack: f64,
    requests: VecDeque<Moment>,
    spent: VecDeque<Moment>,
}

impl RetryBudget {
    /// Makes a budget from what all nodes together may spend.
    pub fn new(ratio: f64, window: Duration, slack: f64) -> Self {
        Self {
            ratio: ratio * USED,
            window,
            slack: slack * SLACK_USED,
            requests: VecDeque::new(),
            spent: VecDeque::new(),
        }
    }

    /// Counts a request that has reached a server for the first time.
    pub fn deposit(&mut self, now: Moment) {
        self.requests.push_back(now);
        self.age(now);
    }

    /// Takes one second attempt, if the budget has one for one of `nodes` nodes. Each keeps to its
    /// part of the slack: a part that didn't shrink with their number would in a large fleet add up
    /// to more than all may spend.
    pub fn withdraw(&mut self, now: Moment, nodes: usize) -> bool {
        self.age(now);
        let slack = self.slack / nodes.max(1) as f64;
        let allowed = self.requests.len() as f64 * self.ratio + slack;
        if self.spent.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.spent.push_back(now);
        true
    }

    fn age(&mut self, now: Moment) {
        for kept in [&mut self.requests, &mut self.spent] {
            while kept.front().is_some_and(|at| now.since(*at) >= self.window) {
                kept.pop_front();
            }
        }
    }
}
