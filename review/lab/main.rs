//! The stand-ins of the cases from 4 on, and the cases themselves: `lab CASE`. Only the standard library is used.
//!
//! Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.

mod cbor;
mod cloud;
mod crash_loop;
mod guarantee;
mod http;
mod huge_array;
mod lab;
mod machine;
mod nodes;
mod over_preemption;
mod preemption;
mod record;
mod site;
mod state;
mod users;
mod world;

use std::process::ExitCode;

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let outcome = match case.as_str() {
        "4" => preemption::run(trouble),
        "5" => crash_loop::run(trouble),
        "6" => guarantee::run(trouble),
        "7" => huge_array::run(trouble),
        "8" => over_preemption::run(trouble),
        _ => Err(format!("no case {case:?}")),
    };
    match outcome {
        Ok(broken) if broken.is_empty() => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            broken.iter().for_each(|text| println!("{text}"));
            ExitCode::FAILURE
        }
        Err(error) => {
            println!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
