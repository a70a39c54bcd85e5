//! What is printed of runs.

use super::options::Options;
use super::oracle::Rule;
use super::plan::{Fault, PlannedFault};
use super::run::{Outcome, Verdict};
use std::collections::BTreeMap;

/// Findings of a run that are printed.
const MAX_PRINTED: usize = 20;

/// Prints a schedule of faults.
pub fn print_plan(seed: u64, plan: &[PlannedFault]) {
    println!("seed {seed}: {} troubles", plan.len());
    for p in plan {
        println!(
            "  {:7.2} s  {:?} for {:.2} s, {:?}, share {:.2}, late by up to {:.2} s",
            p.at, p.fault, p.duration_s, p.target, p.share, p.delay_s
        );
    }
}

/// Prints a run, with the command that plays it alone.
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
        "seed {seed}: {verdict:?}, {seconds:.0} s, {} controllers, {} machines; slow moments {}, lag {:.0} ms",
        options.nodes,
        options.machines,
        outcome.slow_steps,
        outcome.scheduling_delay_s * 1000.0
    );
    println!("  {counters:?}");
    println!("  troubles: {:?}", outcome.fault_counts);
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
            "  alone: soak --seed {seed} --nodes {} --machines {} --duration {} --scale {}",
            options.nodes, options.machines, options.duration, options.scale
        );
    }
}

/// Prints what all runs have shown together.
pub fn print_summary(outcomes: &[Outcome]) {
    let of = |verdict| outcomes.iter().filter(|o| o.verdict == verdict).count();
    let seconds: f64 = outcomes.iter().map(|o| o.seconds).sum();
    println!(
        "{} runs, {seconds:.0} s in all: {} green, {} broken, {} too slow to judge",
        outcomes.len(),
        of(Verdict::Passed),
        of(Verdict::Failed),
        of(Verdict::TooSlow)
    );
    let mut rules: BTreeMap<Rule, usize> = BTreeMap::new();
    let mut troubles: BTreeMap<Fault, u64> = BTreeMap::new();
    for outcome in outcomes {
        for violation in &outcome.violations {
            *rules.entry(violation.rule).or_default() += 1;
        }
        for (fault, count) in &outcome.fault_counts {
            *troubles.entry(*fault).or_default() += count;
        }
    }
    println!("rules broken: {rules:?}");
    println!("troubles: {troubles:?}");
    let sum = |of: fn(&Outcome) -> u64| -> u64 { outcomes.iter().map(of).sum() };
    println!(
        "starts {}, cancelled {}, late commands executed {}, refused {}, late starts past the cancellation {}, \
         start_revocations {}, starts after a confirmed cancellation {}",
        sum(|o| o.counters.starts),
        sum(|o| o.counters.cancelled),
        sum(|o| o.counters.late_commands_executed),
        sum(|o| o.counters.late_commands_rejected),
        sum(|o| o.counters.late_starts_after_cancellation),
        sum(|o| o.counters.start_revocations),
        sum(|o| o.counters.starts_after_confirmed_cancellation),
    );
    let broken: Vec<u64> = outcomes
        .iter()
        .filter(|o| o.verdict == Verdict::Failed)
        .map(|o| o.seed)
        .collect();
    println!("broken seeds: {broken:?}");
}

/// The worst of some verdicts; none at all is too little to judge.
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
