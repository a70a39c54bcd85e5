//! The command line of the soak, and what may be wrong with it.

use clap::Parser;
use std::path::{Path, PathBuf};

/// A randomized fault test: real controllers over loopback, with stand-ins for everything else.
#[derive(Debug, Clone, Parser)]
#[command(name = "soak")]
pub struct Options {
    /// The seed of a single run, or the first of several.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Runs, with one seed after another.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    pub count: u64,
    /// A file with seeds, one a line, in place of --seed and --count.
    #[arg(long, conflicts_with_all = ["seed", "count"])]
    pub seeds: Option<PathBuf>,
    /// Runs at a time.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=16))]
    pub jobs: u64,
    /// Controllers.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=9))]
    pub nodes: u64,
    /// Machines that the cloud has.
    #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u64).range(4..=1000))]
    pub machines: u64,
    /// Seconds during which faults begin.
    #[arg(long, default_value_t = 40.0, value_parser = positive)]
    pub duration: f64,
    /// Seconds of the run for a second of the protocol's times.
    #[arg(long, default_value_t = 0.1, value_parser = positive)]
    pub scale: f64,
    /// The controllers' program; the release build beside this one unless given.
    #[arg(long)]
    pub binary: Option<PathBuf>,
    /// Where the controllers' logs are kept; they are dropped after a run without findings unless given.
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

/// Why the soak can't run as asked.
#[derive(Debug, thiserror::Error)]
pub enum OptionsError {
    /// A seed file can't be read.
    #[error("--seeds {path}: {source}; name a readable file with one seed a line")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A line of it is no seed.
    #[error(
        "--seeds {path}, line {line}: '{text}' is no seed; write a whole number from 0 to 2^64-1"
    )]
    NoSeed {
        /// The file.
        path: PathBuf,
        /// The line.
        line: usize,
        /// What stands there.
        text: String,
    },
    /// It has no seeds.
    #[error("--seeds {path}: no seed in it; write one a line")]
    Empty {
        /// The file.
        path: PathBuf,
    },
    /// The controllers' program is missing.
    #[error("--binary {path}: no such program; build it with `cargo build --release`")]
    NoBinary {
        /// Where it was looked for.
        path: PathBuf,
    },
}

impl Options {
    /// The seeds to run.
    pub fn all_seeds(&self) -> Result<Vec<u64>, OptionsError> {
        match &self.seeds {
            Some(path) => read_seeds(path),
            None => Ok((0..self.count).map(|n| self.seed.wrapping_add(n)).collect()),
        }
    }

    /// The controllers' program.
    pub fn program(&self) -> Result<PathBuf, OptionsError> {
        let path = self.binary.clone().unwrap_or_else(default_binary);
        if path.is_file() {
            Ok(path)
        } else {
            Err(OptionsError::NoBinary { path })
        }
    }
}

/// `target/release/cedarladder`, seen from `target/release/examples/soak`.
fn default_binary() -> PathBuf {
    let here = std::env::current_exe().unwrap_or_default();
    let target = here.ancestors().nth(3).unwrap_or(Path::new("target"));
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
        let seed = text.parse().map_err(|_| OptionsError::NoSeed {
            path: path.to_owned(),
            line: line + 1,
            text: text.to_owned(),
        })?;
        seeds.push(seed);
    }
    if seeds.is_empty() {
        return Err(OptionsError::Empty {
            path: path.to_owned(),
        });
    }
    Ok(seeds)
}
