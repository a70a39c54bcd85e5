//! The command line options of the soak, and their checks.

use clap::Parser;
use std::path::{Path, PathBuf};

/// A randomized fault test: real controllers over loopback, with stand-ins for everything else.
#[derive(Debug, Clone, Parser)]
#[command(name = "soak")]
pub struct Options {
    /// The seed of a single run, or the first of several.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of runs, with consecutive seeds.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    pub count: u64,
    /// A file with one seed a line, in place of --seed and --count.
    #[arg(long, conflicts_with_all = ["seed", "count"])]
    pub seeds: Option<PathBuf>,
    /// Number of concurrent runs.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=16))]
    pub jobs: u64,
    /// Number of controllers.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=9))]
    pub nodes: u64,
    /// Number of machines that the cloud can provide.
    #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u64).range(4..=1000))]
    pub machines: u64,
    /// Time of the run after which no more faults begin, in seconds.
    #[arg(long, default_value_t = 40.0, value_parser = positive)]
    pub duration: f64,
    /// Seconds of the run that represent one second of the protocol.
    #[arg(long, default_value_t = 0.1, value_parser = positive)]
    pub scale: f64,
    /// Program of the controllers; by default the release build in the target directory that contains the soak program.
    #[arg(long)]
    pub binary: Option<PathBuf>,
    /// Directory in which the controllers' logs are kept; without it the logs of runs that pass are deleted.
    #[arg(long)]
    pub logs: Option<PathBuf>,
    /// Print the schedule of faults and run nothing.
    #[arg(long)]
    pub plan: bool,
}

fn positive(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(number) if number.is_finite() && number > 0.0 => Ok(number),
        _ => Err("must be a number above 0".to_owned()),
    }
}

/// Why the options cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum OptionsError {
    /// The seed file cannot be read.
    #[error("--seeds {path}: {source}; name a readable file with one seed a line")]
    Unreadable {
        path: PathBuf,
        source: std::io::Error,
    },
    /// A line of the seed file is not a seed.
    #[error(
        "--seeds {path}, line {line}: '{text}' is not a seed; write a whole number from 0 to 2^64-1"
    )]
    InvalidSeed {
        path: PathBuf,
        line: usize,
        text: String,
    },
    /// The seed file has no seeds.
    #[error("--seeds {path}: the file has no seeds; write one a line")]
    NoSeeds { path: PathBuf },
    /// The program of the controllers does not exist.
    #[error("--binary {path}: no such program; build it with `cargo build --release`")]
    BinaryNotFound {
        /// Path at which there is no file.
        path: PathBuf,
    },
}

impl Options {
    /// The seeds of the runs: those of the seed file or else, without a file, `count` seeds from `seed` on.
    pub fn run_seeds(&self) -> Result<Vec<u64>, OptionsError> {
        match &self.seeds {
            Some(path) => read_seeds(path),
            None => Ok((0..self.count).map(|n| self.seed.wrapping_add(n)).collect()),
        }
    }

    /// Path of the program of the controllers.
    pub fn program(&self) -> Result<PathBuf, OptionsError> {
        let path = self.binary.clone().unwrap_or_else(default_binary);
        if path.is_file() {
            Ok(path)
        } else {
            Err(OptionsError::BinaryNotFound { path })
        }
    }
}

/// The path `release/cedarladder` in the target directory of this program, which is `release/examples/soak` there.
fn default_binary() -> PathBuf {
    let this_program = std::env::current_exe().unwrap_or_default();
    let target = this_program
        .ancestors()
        .nth(3)
        .unwrap_or(Path::new("target"));
    target.join("release").join("cedarladder")
}

fn read_seeds(path: &Path) -> Result<Vec<u64>, OptionsError> {
    let text = std::fs::read_to_string(path).map_err(|source| OptionsError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    let mut seeds = Vec::new();
    for (line, text) in text.lines().enumerate() {
        let text = text.trim();
        if text.is_empty() || text.starts_with('#') {
            continue;
        }
        let seed = text.parse().map_err(|_| OptionsError::InvalidSeed {
            path: path.to_owned(),
            line: line + 1,
            text: text.to_owned(),
        })?;
        seeds.push(seed);
    }
    if seeds.is_empty() {
        return Err(OptionsError::NoSeeds {
            path: path.to_owned(),
        });
    }
    Ok(seeds)
}
