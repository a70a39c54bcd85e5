//! A randomized fault test with real controller processes over loopback, called the soak.
//!
//! Several processes of the built program run as controllers, called nodes here and numbered from 0. This process
//! simulates everything else: workers, users, the cloud and the state service are stand-ins that were written from the
//! protocol, and the connections between controllers pass through proxies. Faults are injected by a schedule that a
//! seed determines. The [`oracle`] checks the rules of the protocol against what workers and users observe. A machine
//! is an instance that the cloud stand-in has created, with its worker.
//!
//! All durations of the protocol are multiplied by the same factor, so that their ratios are those of a real
//! deployment.

pub mod clock;
pub mod cloud;
pub mod controllers;
pub mod faults;
pub mod http;
#[path = "../standins/kv_store.rs"]
pub mod kv_store;
pub mod machines;
pub mod options;
pub mod oracle;
pub mod plan;
pub mod proxy;
pub mod report;
pub mod run;
pub mod state;
pub mod users;

use options::{Options, OptionsError};
use plan::schedule;
use run::{Outcome, Verdict};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Semaphore;

/// Longest time for which the end of the soak waits for the asynchronous tasks of this process to end.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of threads that run the stand-ins of all concurrent runs.
const THREADS: usize = 3;

/// An error that ends the soak without a verdict.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    #[error(transparent)]
    Options(#[from] OptionsError),
    #[error("the soak cannot run: {0}; check for free ports, memory and disk space")]
    Io(#[from] io::Error),
    #[error("the soak was stopped by a signal; its controllers are killed and there is no verdict")]
    Stopped,
}

/// Runs the soak with these options and prints the results. Returns the worst verdict of the runs. With the option
/// --plan, only prints the schedules and returns [`Verdict::Passed`].
pub fn soak(options: &Options) -> Result<Verdict, SoakError> {
    let seeds = options.run_seeds()?;
    if options.plan {
        for seed in seeds {
            report::print_plan(
                seed,
                &schedule(
                    seed,
                    options.nodes as usize,
                    options.duration,
                    options.scale,
                ),
            );
        }
        return Ok(Verdict::Passed);
    }
    let program = options.program()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()?;
    let outcomes = runtime.block_on(async {
        tokio::select! {
            outcomes = run_seeds(options, &program, &seeds) => outcomes.map_err(SoakError::from),
            result = stop_signal() => Err(result.err().map_or(SoakError::Stopped, SoakError::from)),
        }
    });
    // After a signal, the shutdown drops the unfinished runs, which kills their controllers.
    runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
    let outcomes = outcomes?;
    report::print_summary(&outcomes);
    let verdicts = outcomes.iter().map(|outcome| outcome.verdict);
    Ok(report::worst(verdicts))
}

/// Waits for SIGTERM or SIGINT.
async fn stop_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Runs the soak with each seed, with as many concurrent runs as the options allow.
async fn run_seeds(options: &Options, program: &Path, seeds: &[u64]) -> io::Result<Vec<Outcome>> {
    let concurrency = Arc::new(Semaphore::new(options.jobs as usize));
    let mut runs = Vec::new();
    for seed in seeds.iter().copied() {
        let (options, program) = (options.clone(), program.to_owned());
        let concurrency = concurrency.clone();
        runs.push(tokio::spawn(async move {
            let _permit = concurrency.acquire().await;
            run_seed(&options, &program, seed).await
        }));
    }
    let mut outcomes = Vec::new();
    for run in runs {
        outcomes.push(run.await.map_err(io::Error::other)??);
    }
    Ok(outcomes)
}

/// Runs the soak with one seed and prints the result. Keeps the logs of the run if it did not pass or the option --logs
/// is given.
async fn run_seed(options: &Options, program: &Path, seed: u64) -> io::Result<Outcome> {
    let directory = log_directory(options, seed);
    if directory.exists() {
        std::fs::remove_dir_all(&directory)?;
    }
    std::fs::create_dir_all(&directory)?;
    let outcome = run::run(options, program, &directory, seed).await?;
    report::print_outcome(&outcome, options);
    if options.logs.is_none() && outcome.verdict == Verdict::Passed {
        std::fs::remove_dir_all(&directory)?;
    } else {
        println!("  logs: {}", directory.display());
    }
    Ok(outcome)
}

fn log_directory(options: &Options, seed: u64) -> PathBuf {
    let parent = options.logs.clone().unwrap_or_else(std::env::temp_dir);
    parent.join(format!("cedarladder-soak-{}-{seed}", std::process::id()))
}
