//! A randomized fault test on real processes over loopback.
//!
//! The built program runs as three or more controllers. Workers, users, cloud and state service are stand-ins,
//! written from the protocol, in this one process; proxies stand between the controllers. Faults come by a
//! schedule that a seed determines. The protocol's rules are checked from outside, by what workers and users
//! see. All times keep the ratios of a real deployment.

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

/// For how long the end of a soak may take.
const SHUTDOWN: Duration = Duration::from_secs(2);
/// Threads of the stand-ins.
const THREADS: usize = 3;

/// Why a soak did not come to its end.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    #[error(transparent)]
    Options(#[from] OptionsError),
    #[error("the soak can't run: {0}; look for free ports, memory and disk space")]
    Io(#[from] io::Error),
    #[error("the soak was stopped by a signal; its controllers are ended, nothing is judged")]
    Stopped,
}

/// Runs what the options ask for and prints it. Returns the worst verdict.
pub fn soak(options: &Options) -> Result<Verdict, SoakError> {
    let seeds = options.all_seeds()?;
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
            outcomes = all(options, &program, &seeds) => outcomes.map_err(SoakError::from),
            stopped = stop_signal() => Err(stopped.err().map_or(SoakError::Stopped, SoakError::from)),
        }
    });
    // Runs that are dropped end their controllers.
    runtime.shutdown_timeout(SHUTDOWN);
    let outcomes = outcomes?;
    report::print_summary(&outcomes);
    let verdicts = outcomes.iter().map(|outcome| outcome.verdict);
    Ok(report::worst(verdicts))
}

/// Waits until somebody stops the soak.
async fn stop_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

async fn all(options: &Options, program: &Path, seeds: &[u64]) -> io::Result<Vec<Outcome>> {
    let at_once = Arc::new(Semaphore::new(options.jobs as usize));
    let mut runs = Vec::new();
    for seed in seeds.iter().copied() {
        let (options, program) = (options.clone(), program.to_owned());
        let at_once = at_once.clone();
        runs.push(tokio::spawn(async move {
            let _turn = at_once.acquire().await;
            one(&options, &program, seed).await
        }));
    }
    let mut outcomes = Vec::new();
    for run in runs {
        outcomes.push(run.await.map_err(io::Error::other)??);
    }
    Ok(outcomes)
}

async fn one(options: &Options, program: &Path, seed: u64) -> io::Result<Outcome> {
    let folder = log_folder(options, seed);
    if folder.exists() {
        std::fs::remove_dir_all(&folder)?;
    }
    std::fs::create_dir_all(&folder)?;
    let outcome = run::play(options, program, &folder, seed).await?;
    report::print_outcome(&outcome, options);
    if options.logs.is_none() && outcome.verdict == Verdict::Passed {
        std::fs::remove_dir_all(&folder)?;
    } else {
        println!("  logs: {}", folder.display());
    }
    Ok(outcome)
}

fn log_folder(options: &Options, seed: u64) -> PathBuf {
    let parent = options.logs.clone().unwrap_or_else(std::env::temp_dir);
    parent.join(format!("cedarladder-soak-{}-{seed}", std::process::id()))
}
