//! The command line.

use crate::node;
use crate::policy::Policy;
use crate::settings::Settings;
use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;

/// A cluster scheduler for rented machines.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// The platform's settings file.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

/// Exit code for wrong words, files or settings.
const USAGE: u8 = 2;

/// Runs the program.
pub fn main() -> ExitCode {
    let args = Args::parse();
    start_log();
    let settings = match Settings::load(&args.config) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("cedarladder: {error}");
            return ExitCode::from(USAGE);
        }
    };
    let policy = Policy::built_in(&settings);
    match node::run(settings, policy) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cedarladder: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start_log() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => LevelFilter::DEBUG,
        Ok("error") => LevelFilter::ERROR,
        _ => LevelFilter::INFO,
    };
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .with_max_level(level)
        .init();
}
