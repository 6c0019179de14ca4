//! Sharing a route's requests among its services by weight.

use crate::model::WeightedService;

/// Gives each service its share as evenly as whole requests allow, so that also a few hundred
/// requests show the weights that the operators wrote.
#[derive(Clone, Debug, Default)]
pub struct WeightWheel {
    credits: Vec<i64>,
}

impl WeightWheel {
    /// Returns the place of the service that the next request goes to.
    pub fn turn(&mut self, services: &[WeightedService]) -> usize {
        if self.credits.len() != services.len() {
            self.credits = vec![0; services.len()];
        }
        let mut total = 0;
        for (credit, part) in self.credits.iter_mut().zip(services) {
            *credit += i64::from(part.weight);
            total += i64::from(part.weight);
        }
        let chosen = self
            .credits
            .iter()
            .enumerate()
            .max_by_key(|(_, credit)| **credit);
        let place = chosen.map_or(0, |(place, _)| place);
        if let Some(credit) = self.credits.get_mut(place) {
            *credit -= total;
        }
        place
    }
}
