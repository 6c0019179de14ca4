//! The times of arrivals.

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::Distribution;
use rand_distr::Exp;

use super::ArrivalShape;

/// Draws the times of arrivals, counted from the start of the load, in rising order.
#[derive(Clone, Debug)]
pub struct ArrivalTimes {
    gaps: Option<Exp<f64>>,
    random: ChaCha8Rng,
    next: Duration,
    burst: Option<Burst>,
}

#[derive(Clone, Copy, Debug)]
struct Burst {
    every: Duration,
    size: u64,
    left: u64,
    at: Duration,
}

impl ArrivalTimes {
    /// Makes arrivals of `rate` a second; a rate that is not positive gives none.
    pub fn new(shape: ArrivalShape, rate: f64, seed: u64) -> Self {
        let burst = match shape {
            ArrivalShape::Poisson => None,
            ArrivalShape::Bursts { every } => {
                let size = (rate * every.as_secs_f64() / 2.0) as u64;
                Some(Burst {
                    every,
                    size,
                    left: size,
                    at: every,
                })
            }
        };
        let independent = if burst.is_some() { rate / 2.0 } else { rate };
        let mut times = Self {
            gaps: Exp::new(independent).ok().filter(|_| rate > 0.0),
            random: ChaCha8Rng::seed_from_u64(seed),
            next: Duration::ZERO,
            burst,
        };
        times.next = times.draw_gap().unwrap_or_default();
        times
    }

    fn draw_gap(&mut self) -> Option<Duration> {
        let gap = self.gaps?.sample(&mut self.random);
        Some(Duration::from_secs_f64(gap))
    }
}

impl Iterator for ArrivalTimes {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        if let Some(burst) = &mut self.burst
            && burst.at <= self.next
            && burst.size > 0
        {
            let at = burst.at;
            burst.left -= 1;
            if burst.left == 0 {
                burst.left = burst.size;
                burst.at += burst.every;
            }
            return Some(at);
        }
        let at = self.next;
        let gap = self.draw_gap()?;
        self.next += gap;
        Some(at)
    }
}
