//! The command `quetzalrack-report`.

use std::fs;
use std::fs::File;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use miette::IntoDiagnostic;
use quetzalrack_core::document;
use quetzalrack_core::document::EnvironmentDocument;
use quetzalrack_operator::nodes::NodeReader;
use quetzalrack_operator::settings::OperatorSettings;
use quetzalrack_report::arguments::CommandLine;
use quetzalrack_report::burn::compute;
use quetzalrack_report::input::InputError;
use quetzalrack_report::input::NodePoll;
use quetzalrack_report::input::read_samples;
use quetzalrack_report::input::write_sample;
use quetzalrack_report::ledger::SampleLedger;
use quetzalrack_report::output::html;
use quetzalrack_report::output::table;

/// The exit status for wrong input.
const BAD_INPUT: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    match run(CommandLine::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:?}");
            ExitCode::from(BAD_INPUT)
        }
    }
}

async fn run(line: CommandLine) -> miette::Result<()> {
    let document = open_document(&line.document)?;
    let mut ledger = SampleLedger::open();
    match &line.samples {
        Some(path) => read_samples(path)?
            .into_iter()
            .for_each(|sample| ledger.add(sample)),
        None => poll(&line, &mut ledger).await?,
    }
    let report = compute(&document, &ledger, &line.windows()).ok_or(InputError::Nothing)?;
    if let Some(path) = &line.html {
        fs::write(path, html(&report)?).into_diagnostic()?;
    }
    match line.json {
        true => println!(
            "{}",
            serde_json::to_string_pretty(&report).into_diagnostic()?
        ),
        false => print!("{}", table(&report)),
    }
    Ok(())
}

async fn poll(line: &CommandLine, ledger: &mut SampleLedger) -> miette::Result<()> {
    let path = line.settings.clone().unwrap_or_default();
    let settings = OperatorSettings::open(&path)?;
    let node = line.node.clone().or_else(|| settings.node.clone());
    let node =
        node.ok_or_else(|| miette::miette!(code = "QZ1021", "give --node http://IP:PORT"))?;
    let reader = NodeReader::open(settings.ring()?).map_err(InputError::from)?;
    let mut save = match &line.save {
        Some(path) => Some((File::create(path).into_diagnostic()?, path)),
        None => None,
    };
    let mut poll = NodePoll::open(reader, node);
    let take = |sample| {
        if let Some((file, path)) = &mut save {
            write_sample(file, path, &sample)?;
        }
        ledger.add(sample);
        Ok(())
    };
    Ok(poll.run(line.over.0, line.every.0, take).await?)
}

fn open_document(path: &Path) -> Result<Arc<EnvironmentDocument>, InputError> {
    let bytes = fs::read(path).map_err(|source| InputError::File {
        path: path.to_owned(),
        source,
    })?;
    document::open(&bytes).ok_or_else(|| InputError::Document {
        path: path.to_owned(),
    })
}
