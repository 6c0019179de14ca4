//! The command line.

use std::path::PathBuf;

use clap::Parser;

/// Brings one environment up on loopback: log service, backend servers and nodes
#[derive(Debug)]
#[derive(Parser)]
#[command(version)]
pub struct CommandLine {
    /// The environment's document, such as examples/andina.json
    pub document: PathBuf,
    /// Stop after this many seconds instead of at Ctrl-C
    #[arg(long)]
    pub seconds: Option<u64>,
    /// Keep settings and logs in this folder instead of a temporary one
    #[arg(long)]
    pub folder: Option<PathBuf>,
    /// Let the backend servers start warm
    #[arg(long)]
    pub warm: bool,
}
