//! The budget of retries.

use std::collections::VecDeque;
use std::time::Duration;

use quetzalrack_core::time::Moment;

/// The share of the allowed ratio that is used. A retried request repeats its calls to other
/// services, and these count as retries at the called service. The requests of that service include
/// the first calls, so with just under half of the ratio for each, both kinds stay within it.
const RATIO_SHARE: f64 = 0.45;
/// The share of the common slack that all nodes together use, for the first failures at each node.
/// Three services may call a fourth, where the calls repeated by their retries count as well: with
/// a fifth for each of the four, they stay within the slack.
const SLACK_SHARE: f64 = 0.2;
/// The share of its part of the slack that a process has when it starts.
const START_SHARE: f64 = 0.25;

/// Bounds the retries at a service by a share of this node's own requests that reached one of the
/// service's servers.
///
/// Every node stays below the share, so all together do without coordination. Requests that are
/// refused before they reach a server add nothing to the budget: under overload they are half of all
/// requests, and when they counted, retries were 17 per 100 first attempts instead of 9, and so were
/// the calls repeated by them.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    window: Duration,
    slack: f64,
    started: Moment,
    /// The largest fleet seen within the window, and when it was last seen.
    fleet: (usize, Moment),
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl RetryBudget {
    /// Creates a budget from the ratio and the slack that all nodes together may use, for a process that
    /// started at `started`.
    pub fn new(started: Moment, ratio: f64, window: Duration, slack: f64) -> Self {
        Self {
            started,
            fleet: (0, started),
            ratio: ratio * RATIO_SHARE,
            window,
            slack: slack * SLACK_SHARE,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Adds a request that has reached a server for the first time.
    pub fn deposit(&mut self, now: Moment) {
        self.requests.push_back(now);
        self.drop_old(now);
    }

    /// Withdraws one retry, with the slack divided among `nodes` nodes; returns false if none is
    /// left. Parts that didn't shrink with the number of nodes would together exceed the slack in a
    /// large fleet.
    ///
    /// The processes that ran before this one and the nodes that have left have used their parts of the same
    /// window. So a process gets its part little by little, and the part grows only a window after the fleet
    /// has shrunk.
    pub fn withdraw(&mut self, now: Moment, nodes: usize) -> bool {
        self.drop_old(now);
        let (largest, seen_at) = self.fleet;
        if nodes >= largest || now.since(seen_at) >= self.window {
            self.fleet = (nodes, now);
        }
        let uptime = now.since(self.started).as_secs_f64();
        let earned = (START_SHARE + uptime / self.window.as_secs_f64()).min(1.0);
        let slack = self.slack * earned / self.fleet.0.max(1) as f64;
        let allowed = self.requests.len() as f64 * self.ratio + slack;
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn drop_old(&mut self, now: Moment) {
        for times in [&mut self.requests, &mut self.retries] {
            while times
                .front()
                .is_some_and(|at| now.since(*at) >= self.window)
            {
                times.pop_front();
            }
        }
    }
}
