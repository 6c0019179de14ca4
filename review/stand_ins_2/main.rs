//! The cases of the second review: stand-ins of the platform around the project's own program.

mod case_claims;
mod case_other_writer;
mod case_uploads;
mod deployment;
mod http;
mod record;
mod server;
mod store;
mod watch;

use std::env;
use std::path::PathBuf;
use std::process::exit;

fn main() {
    let mut arguments = env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_default());
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let code = match case.as_str() {
        "claims" => case_claims::run(&folder, trouble),
        "other_writer" => case_other_writer::run(&folder, trouble),
        "uploads" => case_uploads::run(&folder, trouble),
        _ => 2,
    };
    exit(code);
}
