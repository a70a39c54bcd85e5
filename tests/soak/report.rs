//! What is printed of runs.

use super::options::Options;
use super::oracle::Rule;
use super::plan::{Fault, Planned};
use super::run::{Outcome, Verdict};
use std::collections::BTreeMap;

/// Findings of a run that are printed.
const MAX_PRINTED: usize = 20;

/// Prints a schedule of faults.
pub fn print_plan(seed: u64, plan: &[Planned]) {
    println!("seed {seed}: {} troubles", plan.len());
    for p in plan {
        println!(
            "  {:7.2} s  {:?} for {:.2} s, {:?}, share {:.2}, late by up to {:.2} s",
            p.at, p.fault, p.for_s, p.target, p.share, p.late_s
        );
    }
}

/// Prints a run, with the command that plays it alone.
pub fn print_outcome(outcome: &Outcome, options: &Options) {
    let Outcome {
        seed,
        seconds,
        verdict,
        findings,
        counts,
        ..
    } = outcome;
    println!(
        "seed {seed}: {verdict:?}, {seconds:.0} s, {} controllers, {} machines; slow moments {}, lag {:.0} ms",
        options.nodes,
        options.machines,
        outcome.slow,
        outcome.lag_s * 1000.0
    );
    println!("  {counts:?}");
    println!("  troubles: {:?}", outcome.took_place);
    for finding in findings.iter().take(MAX_PRINTED) {
        println!("  {:.3} {:?}: {}", finding.at, finding.rule, finding.record);
    }
    if findings.len() > MAX_PRINTED {
        println!("  and {} more", findings.len() - MAX_PRINTED);
    }
    if *verdict != Verdict::Green {
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
        of(Verdict::Green),
        of(Verdict::Broken),
        of(Verdict::TooSlow)
    );
    let mut rules: BTreeMap<Rule, usize> = BTreeMap::new();
    let mut troubles: BTreeMap<Fault, u64> = BTreeMap::new();
    for outcome in outcomes {
        for finding in &outcome.findings {
            *rules.entry(finding.rule).or_default() += 1;
        }
        for (fault, count) in &outcome.took_place {
            *troubles.entry(*fault).or_default() += count;
        }
    }
    println!("rules broken: {rules:?}");
    println!("troubles: {troubles:?}");
    let sum = |of: fn(&Outcome) -> u64| -> u64 { outcomes.iter().map(of).sum() };
    println!(
        "starts {}, cancelled {}, late commands executed {}, refused {}, late starts past the cancellation {}, \
         fences {}, starts after a confirmed cancellation {}",
        sum(|o| o.counts.starts),
        sum(|o| o.counts.cancelled),
        sum(|o| o.counts.late_commands_executed),
        sum(|o| o.counts.late_commands_refused),
        sum(|o| o.counts.late_starts_past_cancellation),
        sum(|o| o.counts.fences),
        sum(|o| o.counts.starts_after_cancel),
    );
    let broken: Vec<u64> = outcomes
        .iter()
        .filter(|o| o.verdict == Verdict::Broken)
        .map(|o| o.seed)
        .collect();
    println!("broken seeds: {broken:?}");
}

/// The worst of some verdicts; none at all is too little to judge.
pub fn worst(verdicts: impl Iterator<Item = Verdict>) -> Verdict {
    let mut worst = None;
    for verdict in verdicts {
        worst = match (worst, verdict) {
            (Some(Verdict::Broken), _) | (_, Verdict::Broken) => Some(Verdict::Broken),
            (Some(Verdict::TooSlow), _) | (_, Verdict::TooSlow) => Some(Verdict::TooSlow),
            _ => Some(Verdict::Green),
        };
    }
    worst.unwrap_or(Verdict::TooSlow)
}
