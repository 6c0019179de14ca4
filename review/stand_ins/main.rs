//! Stand-ins for the platform, its backend servers and its clients, for the cases of the review.
//!
//! Uses the standard library alone. One process plays the store, the servers and the clients of a small
//! deployment on loopback addresses, starts the program under review as separate processes, and checks
//! one rule with what the servers and the clients have seen.

mod case_drain;
mod case_holders;
mod case_reborn;
mod case_refused;
mod case_release;
mod client;
mod deployment;
mod http;
mod node;
mod record;
mod server;
mod store;

use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// Exit status if the rule was broken.
const BROKEN: u8 = 1;
/// Exit status if the case could not run.
const NOT_RUN: u8 = 2;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: stand-ins CASE RECORD");
        return ExitCode::from(NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(path) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("no record at {path}: {error}");
            return ExitCode::from(NOT_RUN);
        }
    };
    record.line(format!("case {case}, trouble {trouble}"));
    let verdict = match case.as_str() {
        "holders" => case_holders::run(&record, trouble),
        "reborn" => case_reborn::run(&record, trouble),
        "refused" => case_refused::run(&record, trouble),
        "release" => case_release::run(&record, trouble),
        "drain" => case_drain::run(&record, trouble),
        _ => Verdict::NotRun(format!("unknown case {case}")),
    };
    let (text, status) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was BROKEN".to_owned(), BROKEN),
        Verdict::NotRun(why) => (format!("the case could not run: {why}"), NOT_RUN),
    };
    record.line(text.clone());
    println!("{text}");
    ExitCode::from(status)
}
