//! Distribution of a route's requests among its services by weight.

use crate::model::WeightedService;

/// A smooth weighted round robin: each service receives its share as evenly as whole requests allow, so
/// a few hundred requests already show the configured weights.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Returns the index of the service that receives the next request.
    pub fn next_index(&mut self, services: &[WeightedService]) -> usize {
        if self.credits.len() != services.len() {
            self.credits = vec![0; services.len()];
        }
        let mut total = 0;
        for (credit, service) in self.credits.iter_mut().zip(services) {
            *credit += i64::from(service.weight);
            total += i64::from(service.weight);
        }
        let chosen = self
            .credits
            .iter()
            .enumerate()
            .max_by_key(|(_, credit)| **credit);
        let index = chosen.map_or(0, |(index, _)| index);
        if let Some(credit) = self.credits.get_mut(index) {
            *credit -= total;
        }
        index
    }
}
