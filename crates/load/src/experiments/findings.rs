//! What an experiment found.

use quetzalrack_testutils::checker::Violation;

use crate::drive::Sample;
use crate::measure::LatencySummary;
use crate::results::Figure;
use crate::results::Line;

/// Gathers figures, lines and broken promises while an experiment runs.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// What was done.
    pub setup: String,
    /// What the lines show.
    pub plotted: String,
    /// The figures.
    pub figures: Vec<Figure>,
    /// The lines.
    pub lines: Vec<Line>,
    /// Broken promises.
    pub violations: Vec<String>,
}

impl Findings {
    /// Begins with a description.
    pub fn new(setup: &str, plotted: &str) -> Self {
        Self {
            setup: setup.to_owned(),
            plotted: plotted.to_owned(),
            ..Self::default()
        }
    }

    /// Adds a figure.
    pub fn add(&mut self, variant: &str, measure: &str, value: f64, unit: &str) {
        self.figures
            .push(Figure::new(variant, measure, value, unit));
    }

    /// Adds the share of whole answers and the tail of a phase.
    pub fn add_phase(&mut self, variant: &str, phase: &str, samples: &[&Sample]) {
        let answered = samples.iter().filter(|sample| sample.is_answered()).count();
        let share = 100.0 * answered as f64 / samples.len().max(1) as f64;
        let latency = LatencySummary::of(samples.iter().copied());
        self.add(variant, &format!("answered, {phase}"), share, "%");
        self.add(variant, &format!("median, {phase}"), latency.p50_ms, "ms");
        self.add(variant, &format!("p99, {phase}"), latency.p99_ms, "ms");
    }

    /// Adds what the checker found.
    pub fn add_violations(&mut self, found: &[Violation]) {
        self.violations
            .extend(found.iter().map(ToString::to_string));
    }
}
