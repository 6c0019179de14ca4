//! The whole command line.

use std::path::PathBuf;

use clap::Parser;
use quetzalrack_operator::arguments::Span;

use crate::burn::BurnWindows;

/// Shows how fast each service spends its error budget, and on what
#[derive(Clone, Debug)]
#[derive(Parser)]
#[command(name = "quetzalrack-report", version)]
pub struct CommandLine {
    /// The document with the objectives
    #[arg(long)]
    pub document: PathBuf,
    /// Earlier readings, in place of asking nodes
    #[arg(long, conflicts_with_all = ["node", "settings"])]
    pub samples: Option<PathBuf>,
    /// The operator's settings, for the key and a node
    #[arg(
        long,
        env = "QUETZALRACK_OPERATOR",
        required_unless_present = "samples"
    )]
    pub settings: Option<PathBuf>,
    /// The admin address of any node, in place of the settings' one
    #[arg(long, value_name = "ADMIN_URL")]
    pub node: Option<String>,
    /// How long to watch, such as 60s
    #[arg(long, default_value = "10s")]
    pub over: Span,
    /// How often to read, such as 1s
    #[arg(long, default_value = "1s")]
    pub every: Span,
    /// Keep the readings in this file, for --samples
    #[arg(long)]
    pub save: Option<PathBuf>,
    /// Write JSON in place of the table
    #[arg(long)]
    pub json: bool,
    /// Also write one HTML page
    #[arg(long, value_name = "FILE")]
    pub html: Option<PathBuf>,
    /// The long and short windows of fast burn
    #[arg(long, num_args = 2, default_values = ["60m", "5m"])]
    pub fast: Vec<Span>,
    /// The long and short windows of slow burn
    #[arg(long, num_args = 2, default_values = ["360m", "30m"])]
    pub slow: Vec<Span>,
}

impl CommandLine {
    /// Returns the windows.
    pub fn windows(&self) -> BurnWindows {
        let usual = BurnWindows::default();
        let pick =
            |spans: &[Span], index: usize, usual| spans.get(index).map_or(usual, |span| span.0);
        BurnWindows {
            fast_long: pick(&self.fast, 0, usual.fast_long),
            fast_short: pick(&self.fast, 1, usual.fast_short),
            slow_long: pick(&self.slow, 0, usual.slow_long),
            slow_short: pick(&self.slow, 1, usual.slow_short),
        }
    }
}
