//! Runs the soak, the randomized fault test, from the command line; see README.md. Exit codes: 0 no rule was broken, 1
//! a rule was broken, 2 the options are invalid or the soak could not run to its end, 3 this host was too slow to
//! judge.

#[path = "../tests/soak/mod.rs"]
mod soak;

use clap::Parser;
use soak::options::Options;
use soak::run::Verdict;
use std::process::ExitCode;

fn main() -> ExitCode {
    let options = Options::parse();
    match soak::soak(&options) {
        Ok(Verdict::Passed) => ExitCode::SUCCESS,
        Ok(Verdict::Failed) => ExitCode::from(1),
        Ok(Verdict::TooSlow) => ExitCode::from(3),
        Err(error) => {
            eprintln!("soak: {error}");
            ExitCode::from(2)
        }
    }
}
