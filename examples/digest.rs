//! Prints a digest of the controllers' behaviour in simulated runs: one line for each seed, and the SHA-256 hash of
//! these lines. A change to the code that is not meant to change behaviour must leave the output unchanged; see
//! CONTRIBUTING.md. The exit code is 1 if a rule of the protocol was broken in any run, else 0.

#[path = "../tests/world/mod.rs"]
mod world;

use clap::Parser;
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use world::digest::{self, Digest};
use world::recorder::sha256_hex;

/// Prints a digest of the controllers' behaviour in simulated runs.
#[derive(Parser)]
struct Options {
    /// Number of seeds to run.
    #[arg(long, default_value_t = 200)]
    seeds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 0)]
    first: u64,
    /// Number of seeds to run at a time.
    #[arg(long, default_value_t = 4)]
    jobs: usize,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let mut lines = String::new();
    let mut exit = ExitCode::SUCCESS;
    for digest in run_seeds(&options).into_values() {
        lines += &format!("{digest}\n");
        for rule in &digest.violations {
            eprintln!("seed {}: {rule}", digest.seed);
            exit = ExitCode::FAILURE;
        }
    }
    print!("{lines}");
    println!("all {}", sha256_hex(&lines));
    exit
}

/// Runs all seeds in several threads, and returns the digest of each seed. A thread that has finished a seed takes the
/// next one.
fn run_seeds(options: &Options) -> BTreeMap<u64, Digest> {
    let end = options.first + options.seeds;
    let next_seed = AtomicU64::new(options.first);
    let digests = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..options.jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                    if seed >= end {
                        return;
                    }
                    let digest = digest::run_seed(seed);
                    let mut digests = digests.lock().expect("another thread has panicked");
                    digests.insert(seed, digest);
                }
            });
        }
    });
    digests.into_inner().expect("a thread has panicked")
}
