//! Prints a digest of the controllers' behaviour, a line for each seed, and the hash of all these lines: a
//! change that must not change behaviour leaves every line as it is. See CONTRIBUTING.md. Exit codes: 0,
//! or 1 if a rule was broken in some seed.

#[path = "../tests/world/mod.rs"]
mod world;

use clap::Parser;
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use world::digest::{self, Digest};
use world::recorder::sha256_hex;

/// Prints a digest of the controllers' behaviour in simulated worlds.
#[derive(Parser)]
struct Options {
    /// How many seeds to play.
    #[arg(long, default_value_t = 200)]
    seeds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 0)]
    first: u64,
    /// How many seeds to play at a time.
    #[arg(long, default_value_t = 4)]
    jobs: usize,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let mut lines = String::new();
    let mut exit = ExitCode::SUCCESS;
    for digest in play_all(&options).into_values() {
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

/// The digests of all seeds, which threads take one after the other.
fn play_all(options: &Options) -> BTreeMap<u64, Digest> {
    let end = options.first + options.seeds;
    let next = AtomicU64::new(options.first);
    let digests = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..options.jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= end {
                        return;
                    }
                    let digest = digest::run_seed(seed);
                    let mut digests = digests.lock().expect("no other thread has panicked");
                    digests.insert(seed, digest);
                }
            });
        }
    });
    digests.into_inner().expect("no thread has panicked")
}
