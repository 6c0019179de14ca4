//! The commands.

use std::path::PathBuf;

use clap::Subcommand;
use quetzalrack_core::ids::Version;
use quetzalrack_core::intent::Stage;

use super::ExplainCommand;
use super::ServiceOrder;
use super::Span;
use super::reason::reason;

/// Is one command.
#[derive(Clone, Debug)]
#[derive(Subcommand)]
pub enum Command {
    /// Tell everything wrong with a document
    Check {
        /// The document
        file: PathBuf,
    },
    /// Put a document in force in trial
    Publish {
        /// The document
        file: PathBuf,
        /// The version of trial that the document replaces
        #[arg(long)]
        base: Option<Version>,
        /// Why
        #[arg(long, value_parser = reason)]
        why: String,
    },
    /// Put a document that trial accepted in force in production
    Promote {
        /// The document's digest, or its first digits
        digest: String,
        /// The version of production that the document replaces
        #[arg(long)]
        base: Option<Version>,
        /// Why
        #[arg(long, value_parser = reason)]
        why: String,
    },
    /// Put the document of an earlier version in force again, as a new version
    Rollback {
        /// The earlier version
        #[arg(long)]
        to: Version,
        /// The stage
        #[arg(long, default_value = "production")]
        stage: Stage,
        /// The version that is replaced
        #[arg(long)]
        base: Option<Version>,
        /// Why
        #[arg(long, value_parser = reason)]
        why: String,
    },
    /// List who put what in force, when and why
    History {
        /// The stage
        #[arg(long, default_value = "production")]
        stage: Stage,
    },
    /// Show what one document changes against another
    Diff {
        /// A file, trial, production, or a digest
        old: String,
        /// A file, trial, production, or a digest
        new: String,
    },
    /// Show a document
    Show {
        /// A file, trial, production, or a digest
        #[arg(default_value = "production")]
        document: String,
        /// With every default filled in
        #[arg(long)]
        effective: bool,
    },
    /// Take an availability zone out of service, or back in
    Zone(ServiceOrder),
    /// Take a backend server out of service, or back in
    Server(ServiceOrder),
    /// Show what is in force at each node
    Status {
        /// Wait so long until the newest version is in force everywhere, such as 20s
        #[arg(long, default_value = "0s")]
        wait: Span,
    },
    /// Tell why something is as it is
    #[command(subcommand)]
    Explain(ExplainCommand),
}
