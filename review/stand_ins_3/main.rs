//! Runs one case of the review: `stand-ins CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With `TROUBLE=0` in
//! the environment, the disruption is left out.

mod answer_size;
mod clients;
mod host;
mod http;
mod record;
mod server;
mod store;
mod world;

use std::io;
use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// Whether the rule held.
pub enum Verdict {
    Held,
    Broken,
    /// The case couldn't run.
    NotRun(&'static str),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: stand-ins CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match run(case, Path::new(path), trouble) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::NotRun(why)) => {
            eprintln!("not run: {why}");
            ExitCode::from(2)
        }
        Err(error) => {
            eprintln!("not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, path: &Path, trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(path)?;
    record.say(&format!(
        "case {case}, {}",
        if trouble {
            "with its disruption"
        } else {
            "without a disruption"
        }
    ));
    let verdict = match case {
        "answer-size" => answer_size::run(&record, trouble),
        _ => Ok(Verdict::NotRun("no such case")),
    };
    record.say(match &verdict {
        Ok(Verdict::Held) => "the rule held",
        Ok(Verdict::Broken) => "the rule was broken",
        Ok(Verdict::NotRun(_)) | Err(_) => "the case did not run",
    });
    record.flush();
    verdict
}
