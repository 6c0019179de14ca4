//! Zipf-distributed keys whose hottest move.

use std::time::Duration;

use rand::Rng;
use rand_distr::Distribution;
use rand_distr::Zipf;

use super::KeyPlan;

/// How far the hot keys move, a prime so that they don't come back soon.
const STRIDE: u64 = 7_919;

/// Draws keys.
#[derive(Clone, Copy, Debug)]
pub struct ZipfKeys {
    plan: KeyPlan,
    ranks: Option<Zipf<f64>>,
}

impl ZipfKeys {
    /// Makes keys; a plan that is no Zipf distribution draws the first key always.
    pub fn new(plan: KeyPlan) -> Self {
        let count = plan.count.max(1);
        Self {
            plan: KeyPlan { count, ..plan },
            ranks: Zipf::new(count as f64, plan.exponent).ok(),
        }
    }

    /// Draws the key of a request at `at` after the start of the load.
    pub fn draw<R>(&self, at: Duration, random: &mut R) -> String
    where
        R: Rng,
    {
        let rank = self
            .ranks
            .map_or(0, |ranks| ranks.sample(random) as u64 - 1);
        format!("key-{}", self.place(rank, at))
    }

    fn place(&self, rank: u64, at: Duration) -> u64 {
        match self.plan.move_every {
            Some(every) if rank < self.plan.hot && !every.is_zero() => {
                let moves = (at.as_nanos() / every.as_nanos()) as u64;
                (rank + moves * STRIDE) % self.plan.count
            }
            _ => rank % self.plan.count,
        }
    }
}
