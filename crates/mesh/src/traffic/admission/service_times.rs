//! How long the backend server takes.

use std::collections::BTreeMap;
use std::time::Duration;

use quetzalrack_core::ids::RouteName;

/// The weight of a new answer in the mean: a change of the server's speed shows after about eight.
const WEIGHT: f64 = 0.12;
/// Its weight in the steady means, for what must not follow tenths of a second in which other work
/// on its host slows the server down: fifty answers are a second or two.
const STEADY_WEIGHT: f64 = 0.02;
/// What is assumed until a route's first answer.
const UNKNOWN: Duration = Duration::from_millis(100);

/// Keeps the mean time of answers by route.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTimes {
    routes: BTreeMap<RouteName, Means>,
    all: Option<Means>,
    time: f64,
    square: f64,
}

/// Is a route's mean time in seconds, and one that follows slowly.
#[derive(Clone, Copy, Debug)]
struct Means {
    recent: f64,
    steady: f64,
}

impl Means {
    fn learn(&mut self, time: f64) {
        self.recent += (time - self.recent) * WEIGHT;
        self.steady += (time - self.steady) * STEADY_WEIGHT;
    }
}

impl ServiceTimes {
    pub(super) fn learn(&mut self, route: &RouteName, time: Duration) {
        let time = time.as_secs_f64();
        let first = Means {
            recent: time,
            steady: time,
        };
        self.routes
            .entry(route.clone())
            .or_insert(first)
            .learn(time);
        self.all.get_or_insert(first).learn(time);
        self.time += (time - self.time) * STEADY_WEIGHT;
        self.square += (time * time - self.square) * STEADY_WEIGHT;
    }

    /// Returns the mean time of a route's answers.
    pub(super) fn of(&self, route: &RouteName) -> Duration {
        let mean = self.routes.get(route).map(|means| means.recent);
        let mean = mean.or(self.all.map(|means| means.recent));
        mean.map_or(UNKNOWN, Duration::from_secs_f64)
    }

    /// Returns the same, following slowly.
    pub(super) fn steady(&self, route: &RouteName) -> Duration {
        let mean = self.routes.get(route).map(|means| means.steady);
        mean.map_or_else(|| self.of(route), Duration::from_secs_f64)
    }

    /// Returns the mean time of all answers.
    pub(super) fn mean(&self) -> Duration {
        self.all
            .map_or(UNKNOWN, |means| Duration::from_secs_f64(means.recent))
    }

    /// Returns the mean time of all answers, without the tenths of a second in which it is longer.
    pub(super) fn best_mean(&self) -> Duration {
        self.all.map_or(UNKNOWN, |means| {
            Duration::from_secs_f64(means.recent.min(means.steady))
        })
    }

    /// Returns the mean time of the requests that make up most of the work: each weighs by its time,
    /// so that many short ones hide nothing. Zero before the first answer.
    pub(super) fn of_most_work(&self) -> Duration {
        match self.time > 0.0 {
            true => Duration::from_secs_f64(self.square / self.time),
            false => Duration::ZERO,
        }
    }
}
