//! What was seen.

use std::time::Duration;

/// Is when one node had a version in force.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Since the operator's append was sent.
    pub after: Duration,
    /// Whether the node reads the log.
    pub reads_log: bool,
    /// How often the node went back to an older version meanwhile.
    pub reverts: u64,
}

/// Gathers arrivals of all rounds.
#[derive(Clone, Debug, Default)]
pub struct Observation {
    arrivals: Vec<Arrival>,
}

impl Observation {
    pub fn add(&mut self, arrivals: Vec<Arrival>) {
        self.arrivals.extend(arrivals);
    }

    pub fn row(&self, nodes: usize, bytes: u64, snapshot: usize) -> String {
        let (median, worst) = self.figures(true);
        let (blind_median, blind_worst) = self.figures(false);
        let reverts: u64 = self.arrivals.iter().map(|arrival| arrival.reverts).sum();
        format!(
            "{nodes:>5}  {median:>19.1}  {worst:>8.1}  {blind_median:>22.1}  {blind_worst:>8.1}  {reverts:>7}  {bytes:>25}  {snapshot:>14}"
        )
    }

    fn figures(&self, reads_log: bool) -> (f64, f64) {
        let wanted = self
            .arrivals
            .iter()
            .filter(|arrival| arrival.reads_log == reads_log);
        let mut times: Vec<_> = wanted
            .map(|arrival| arrival.after.as_secs_f64() * 1e3)
            .collect();
        times.sort_by(f64::total_cmp);
        let median = times.get(times.len() / 2).copied().unwrap_or(f64::NAN);
        (median, times.last().copied().unwrap_or(f64::NAN))
    }
}
