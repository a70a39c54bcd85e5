//! Prints schedules and results of runs.

use super::options::Options;
use super::oracle::Rule;
use super::plan::{Fault, PlannedFault};
use super::run::{Outcome, Verdict};
use std::collections::BTreeMap;

/// Largest number of violations that are printed for a run.
const MAX_PRINTED: usize = 20;

/// Prints a schedule of faults.
pub fn print_plan(seed: u64, plan: &[PlannedFault]) {
    println!("seed {seed}: {} faults", plan.len());
    for p in plan {
        println!(
            "  {:7.2} s  {:?} for {:.2} s, {:?}, share {:.2}, delay up to {:.2} s",
            p.at, p.fault, p.duration_s, p.target, p.share, p.delay_s
        );
    }
}

/// Prints the result of a run, and the command that repeats the run if it did not pass.
pub fn print_outcome(outcome: &Outcome, options: &Options) {
    let Outcome {
        seed,
        seconds,
        verdict,
        violations,
        counters,
        ..
    } = outcome;
    println!(
        "seed {seed}: {verdict:?}, {seconds:.0} s, {} controllers, {} machines; {} slow steps, scheduling delay {:.0} ms",
        options.nodes,
        options.machines,
        outcome.slow_steps,
        outcome.scheduling_delay_s * 1000.0
    );
    println!("  {counters:?}");
    println!("  faults: {:?}", outcome.fault_counts);
    for violation in violations.iter().take(MAX_PRINTED) {
        println!(
            "  {:.3} {:?}: {}",
            violation.at, violation.rule, violation.details
        );
    }
    if violations.len() > MAX_PRINTED {
        println!("  and {} more", violations.len() - MAX_PRINTED);
    }
    if *verdict != Verdict::Passed {
        println!(
            "  to repeat: soak --seed {seed} --nodes {} --machines {} --duration {} --scale {}",
            options.nodes, options.machines, options.duration, options.scale
        );
    }
}

/// Prints the totals over all runs.
pub fn print_summary(outcomes: &[Outcome]) {
    let count = |verdict| outcomes.iter().filter(|o| o.verdict == verdict).count();
    let seconds: f64 = outcomes.iter().map(|o| o.seconds).sum();
    println!(
        "{} runs, {seconds:.0} s in total: {} passed, {} failed, {} too slow to judge",
        outcomes.len(),
        count(Verdict::Passed),
        count(Verdict::Failed),
        count(Verdict::TooSlow)
    );
    let mut rules: BTreeMap<Rule, usize> = BTreeMap::new();
    let mut faults: BTreeMap<Fault, u64> = BTreeMap::new();
    for outcome in outcomes {
        for violation in &outcome.violations {
            *rules.entry(violation.rule).or_default() += 1;
        }
        for (fault, count) in &outcome.fault_counts {
            *faults.entry(*fault).or_default() += count;
        }
    }
    println!("rules broken: {rules:?}");
    println!("faults: {faults:?}");
    let sum = |counter: fn(&Outcome) -> u64| -> u64 { outcomes.iter().map(counter).sum() };
    println!(
        "starts {}, cancelled jobs {}, late commands executed {}, rejected {}, late starts after the cancellation {}, \
         start revocations {}, starts after a confirmed cancellation {}",
        sum(|o| o.counters.starts),
        sum(|o| o.counters.cancelled),
        sum(|o| o.counters.late_commands_executed),
        sum(|o| o.counters.late_commands_rejected),
        sum(|o| o.counters.late_starts_after_cancellation),
        sum(|o| o.counters.start_revocations),
        sum(|o| o.counters.starts_after_confirmed_cancellation),
    );
    let failed: Vec<u64> = outcomes
        .iter()
        .filter(|o| o.verdict == Verdict::Failed)
        .map(|o| o.seed)
        .collect();
    println!("failed seeds: {failed:?}");
}

/// The worst of the verdicts: `Failed`, then `TooSlow`, then `Passed`. [`Verdict::TooSlow`] if there are none, because
/// nothing was tested.
pub fn worst(verdicts: impl Iterator<Item = Verdict>) -> Verdict {
    let mut worst = None;
    for verdict in verdicts {
        worst = match (worst, verdict) {
            (Some(Verdict::Failed), _) | (_, Verdict::Failed) => Some(Verdict::Failed),
            (Some(Verdict::TooSlow), _) | (_, Verdict::TooSlow) => Some(Verdict::TooSlow),
            _ => Some(Verdict::Passed),
        };
    }
    worst.unwrap_or(Verdict::TooSlow)
}
