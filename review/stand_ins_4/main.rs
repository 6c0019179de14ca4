//! Cases of the second review. Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the
//! case could not run.

mod case_claims;
mod case_drain;
mod case_owner;
mod case_pipeline;
mod case_successor;
mod case_token;
mod client;
mod deployment;
mod http;
mod json;
mod node;
mod record;
mod server;
mod store;

use std::path::PathBuf;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let record = PathBuf::from(arguments.next().expect("the path of the record"));
    let trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    // A stand-in that panics ends the processes of its deployment as it unwinds.
    let played = std::panic::catch_unwind(|| match case.as_str() {
        "claims" => case_claims::play(&record, trouble),
        "owner" => case_owner::play(&record, trouble),
        "successor" => case_successor::play(&record, trouble),
        "drain" => case_drain::play(&record, trouble),
        "token" => case_token::play(&record, trouble),
        "pipeline" => case_pipeline::play(&record, trouble),
        other => panic!("no case {other:?}"),
    });
    let verdict = played.unwrap_or(Verdict::NotRun);
    std::process::exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    });
}
