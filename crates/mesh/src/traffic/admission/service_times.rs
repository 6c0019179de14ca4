//! The service times of the backend server.

use std::collections::BTreeMap;
use std::time::Duration;

use quetzalrack_core::ids::RouteName;

/// The weight of a new response in the recent mean: a change of the server's speed shows after about
/// eight responses.
const RECENT_WEIGHT: f64 = 0.12;
/// The weight of a new response in the steady mean, which must not follow slowdowns of tenths of a
/// second by other load on the host: fifty responses take a second or two.
const STEADY_WEIGHT: f64 = 0.02;
/// The service time assumed until the first response.
const DEFAULT_TIME: Duration = Duration::from_millis(100);

/// Keeps the mean service time by route.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTimes {
    routes: BTreeMap<RouteName, Means>,
    overall: Option<Means>,
    mean_time: f64,
    mean_square: f64,
}

/// Mean service times in seconds: one that follows changes quickly, and one that follows slowly.
#[derive(Clone, Copy, Debug)]
struct Means {
    recent: f64,
    steady: f64,
}

impl Means {
    fn record(&mut self, time: f64) {
        self.recent += (time - self.recent) * RECENT_WEIGHT;
        self.steady += (time - self.steady) * STEADY_WEIGHT;
    }
}

impl ServiceTimes {
    pub(super) fn record(&mut self, route: &RouteName, time: Duration) {
        let time = time.as_secs_f64();
        let first = Means {
            recent: time,
            steady: time,
        };
        self.routes
            .entry(route.clone())
            .or_insert(first)
            .record(time);
        self.overall.get_or_insert(first).record(time);
        self.mean_time += (time - self.mean_time) * STEADY_WEIGHT;
        self.mean_square += (time * time - self.mean_square) * STEADY_WEIGHT;
    }

    /// Returns the recent mean service time of a route.
    pub(super) fn of(&self, route: &RouteName) -> Duration {
        let mean = self.routes.get(route).map(|means| means.recent);
        let mean = mean.or(self.overall.map(|means| means.recent));
        mean.map_or(DEFAULT_TIME, Duration::from_secs_f64)
    }

    /// Returns the steady mean service time of a route.
    pub(super) fn steady(&self, route: &RouteName) -> Duration {
        let mean = self.routes.get(route).map(|means| means.steady);
        mean.map_or_else(|| self.of(route), Duration::from_secs_f64)
    }

    /// Returns the recent mean service time of all routes.
    pub(super) fn mean(&self) -> Duration {
        self.overall
            .map_or(DEFAULT_TIME, |means| Duration::from_secs_f64(means.recent))
    }

    /// Returns the mean service time of all routes, without slowdowns of tenths of a second.
    pub(super) fn best_mean(&self) -> Duration {
        self.overall.map_or(DEFAULT_TIME, |means| {
            Duration::from_secs_f64(means.recent.min(means.steady))
        })
    }

    /// Returns the mean service time weighted by service time, so that many short requests don't
    /// hide the long ones that make up most of the work. Zero before the first response.
    pub(super) fn weighted_mean(&self) -> Duration {
        match self.mean_time > 0.0 {
            true => Duration::from_secs_f64(self.mean_square / self.mean_time),
            false => Duration::ZERO,
        }
    }
}
