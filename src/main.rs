//! The `cedarladder` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    cedarladder::cli::main()
}
