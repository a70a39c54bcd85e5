//! A short run of the soak (the randomized fault test) with a fixed seed, and tests of the soak itself: its options,
//! its schedules of faults, its verdicts, and its checks of the rules.

#[path = "soak/mod.rs"]
mod soak;

use clap::Parser;
use soak::clock::Clock;
use soak::machines::{Machine, State, Task};
use soak::options::{Options, OptionsError};
use soak::oracle::{FREE_TEAM, Job, Oracle, Rule, Spec, TEAM};
use soak::plan::{Fault, schedule};
use soak::report::worst;
use soak::run::Verdict;
use std::path::PathBuf;

/// Arguments of the short run, without the scale.
const CI_RUN: [&str; 9] = [
    "soak",
    "--seed",
    "14",
    "--duration",
    "45",
    "--nodes",
    "3",
    "--machines",
    "24",
];

/// Real controllers break no rule during overlapping faults. If this host is too slow for the scaled durations, the run
/// is repeated once with all durations doubled. If the host is too slow again, the test fails.
#[test]
fn short_run_breaks_no_rule() {
    for scale in ["0.1", "0.2"] {
        let arguments = CI_RUN.into_iter().chain(["--scale", scale]);
        let mut options = Options::parse_from(arguments);
        options.binary = Some(PathBuf::from(env!("CARGO_BIN_EXE_cedarladder")));
        match soak::soak(&options).expect("the soak could not run") {
            Verdict::Passed => return,
            Verdict::Failed => panic!("a rule was broken; see the violations above"),
            Verdict::TooSlow => println!("this host is too slow for scale {scale}"),
        }
    }
    panic!("this host is too slow for the soak, at both scales");
}

/// Invalid options are rejected with a message that names the option.
#[test]
fn invalid_options_are_rejected() {
    for (arguments, option) in [
        (vec!["--sed", "1"], "--sed"),
        (vec!["--seed", "one"], "--seed"),
        (vec!["--duration", "0"], "--duration"),
        (vec!["--scale", "nan"], "--scale"),
        (vec!["--nodes", "0"], "--nodes"),
        (vec!["--machines", "5000"], "--machines"),
        (vec!["--seeds", "f", "--seed", "1"], "--seeds"),
    ] {
        let words = ["soak"].into_iter().chain(arguments.clone());
        let error = Options::try_parse_from(words).expect_err("invalid options were accepted");
        assert_eq!(error.exit_code(), 2, "{arguments:?}");
        let text = error.to_string();
        assert!(text.contains(option), "{arguments:?}: {text}");
    }
}

/// The message for a seed file that cannot be read, or has no valid seeds, names the file and says what to do.
#[test]
fn seed_files_are_checked() {
    let directory = std::env::temp_dir().join(format!("cedarladder-seeds-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("cannot create the directory");
    let file = |name: &str, text: &str| {
        let path = directory.join(name);
        std::fs::write(&path, text).expect("cannot write the file");
        path
    };
    let seeds = |path: PathBuf| {
        let mut options = Options::parse_from(["soak"]);
        options.seeds = Some(path);
        options.run_seeds()
    };
    let valid = seeds(file("good", "# of last week\n7\n\n 19\n"));
    assert_eq!(valid.ok(), Some(vec![7, 19]));
    let missing = seeds(directory.join("missing"));
    assert!(matches!(missing, Err(OptionsError::Unreadable { .. })));
    let invalid = seeds(file("invalid", "7\n-3\n"));
    assert!(matches!(
        invalid,
        Err(OptionsError::InvalidSeed { line: 2, .. })
    ));
    let empty = seeds(file("empty", "\n"));
    assert!(matches!(empty, Err(OptionsError::NoSeeds { .. })));
    for error in [missing, invalid, empty]
        .into_iter()
        .filter_map(Result::err)
    {
        let text = error.to_string();
        assert!(text.contains("--seeds"), "{text}");
        let remedy = text.contains("name a readable file") || text.contains("write ");
        assert!(remedy, "{text}");
    }
    std::fs::remove_dir_all(&directory).expect("cannot remove the directory");
}

/// A seed always gives the same schedule. Each schedule contains delayed commands combined with cancellations.
#[test]
fn schedules_are_reproducible() {
    for seed in 0..20 {
        let plan = schedule(seed, 3, 40.0, 0.1);
        assert_eq!(plan, schedule(seed, 3, 40.0, 0.1), "seed {seed}");
        let delayed = plan.iter().find(|p| p.fault == Fault::DelayCommands);
        let delayed = delayed.expect("the schedule delays no commands");
        // The delay of a command is at least half of `delay_s`.
        assert!(
            delayed.delay_s / 2.0 >= 5.15,
            "commands are delayed by no more than cancel_s (5.15 s): {delayed:?}"
        );
        let cancellations = plan.iter().filter(|p| p.fault == Fault::CancelManyJobs);
        assert!(
            cancellations.count() >= 3,
            "seed {seed}: fewer than 3 cancellations of many jobs"
        );
    }
    assert_ne!(schedule(1, 3, 40.0, 0.1), schedule(2, 3, 40.0, 0.1));
}

/// The worst of several verdicts counts. Without any verdict the soak does not pass.
#[test]
fn worst_verdict_counts() {
    use Verdict::{Failed, Passed, TooSlow};
    for (verdicts, expected) in [
        (vec![Passed, Passed], Passed),
        (vec![Passed, TooSlow], TooSlow),
        (vec![TooSlow, Failed, Passed], Failed),
        (vec![], TooSlow),
    ] {
        assert_eq!(worst(verdicts.iter().copied()), expected, "{verdicts:?}");
    }
}

fn spec(id: &str, team: &'static str) -> Spec {
    Spec {
        id: id.to_owned(),
        tasks: 2,
        is_service: false,
        cpus: 4.0,
        team,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        run_s: 1.0,
        image: "img".to_owned(),
    }
}

/// A start that breaks a rule is recorded as a violation. Each case changes the state in which task 0 of job j-1 starts
/// on machine h1, and names the rule that the start then breaks.
#[test]
fn broken_rules_are_detected() {
    type Case = (&'static str, fn(&mut Oracle), Option<Rule>);
    fn run_task(oracle: &mut Oracle, worker: &str, task: &str) {
        let machine = oracle.machines.get_mut(worker).expect("no such machine");
        machine.tasks.push(Task {
            name: task.to_owned(),
            attempt: 1,
            state: State::Running(f64::INFINITY),
        });
    }
    fn job(oracle: &mut Oracle) -> &mut Job {
        oracle.jobs.get_mut("j-1").expect("no such job")
    }
    let cases: [Case; 10] = [
        ("no rule is broken", |_| {}, None),
        (
            "the task runs on another machine",
            |t| run_task(t, "h2", "j-1/0"),
            Some(Rule::RanTwice),
        ),
        (
            "the job was cancelled long ago",
            |t| job(t).reported_cancelled_at = Some(-100.0),
            Some(Rule::RanAfterCancellation),
        ),
        (
            "the job was cancelled just now",
            |t| job(t).reported_cancelled_at = Some(0.0),
            None,
        ),
        (
            "the team of the job is at its limit",
            |t| run_task(t, "h2", "j-2/0"),
            Some(Rule::QuotaExceeded),
        ),
        (
            "the team of the job has no limit",
            |t| {
                job(t).spec.team = FREE_TEAM;
                run_task(t, "h2", "j-2/0");
            },
            None,
        ),
        (
            "the job is restricted to another zone",
            |t| job(t).spec.zone = Some("b"),
            Some(Rule::WrongPlacement),
        ),
        (
            "the machine is a spot machine",
            |t| t.machines.get_mut("h1").expect("no such machine").spot = true,
            Some(Rule::WrongPlacement),
        ),
        (
            "all tasks must be in one zone, and another task is in the other zone",
            |t| {
                job(t).spec.one_zone = true;
                run_task(t, "h2", "j-1/1");
            },
            Some(Rule::WrongPlacement),
        ),
        (
            "the tasks must be spread, and the other task is in the same zone",
            |t| {
                job(t).spec.spread = true;
                run_task(t, "h1", "j-1/1");
            },
            Some(Rule::WrongPlacement),
        ),
    ];
    for (name, change, expected) in cases {
        let mut oracle = Oracle::new(1, Clock::new(0.1), 8.0);
        for (worker, zone) in [("h1", "a"), ("h2", "b")] {
            let machine = Machine::new(worker.to_owned(), zone, false, 0.0);
            oracle.machines.insert(worker.to_owned(), machine);
        }
        for id in ["j-1", "j-2"] {
            oracle
                .jobs
                .insert(id.to_owned(), Job::new(spec(id, TEAM), 0.0));
        }
        // One task of the other job uses all CPUs that its team's limit allows.
        oracle.jobs.get_mut("j-2").expect("no such job").spec.cpus = 8.0;
        change(&mut oracle);
        oracle.check_start("h1", "j-1/0", 1);
        let found: Vec<Rule> = oracle
            .violations
            .iter()
            .map(|violation| violation.rule)
            .collect();
        assert_eq!(found, expected.into_iter().collect::<Vec<_>>(), "{name}");
    }
}

/// A task that still runs too long after the cancellation of its job is recorded as one violation.
#[test]
fn running_tasks_of_cancelled_jobs_are_detected() {
    let mut oracle = Oracle::new(1, Clock::new(0.1), 8.0);
    let mut machine = Machine::new("h1".to_owned(), "a", false, 0.0);
    machine.tasks.push(Task {
        name: "j-1/0".to_owned(),
        attempt: 1,
        state: State::Running(f64::INFINITY),
    });
    oracle.machines.insert("h1".to_owned(), machine);
    oracle
        .jobs
        .insert("j-1".to_owned(), Job::new(spec("j-1", TEAM), 0.0));
    oracle.check_cancelled();
    assert!(
        oracle.violations.is_empty(),
        "a violation was recorded although the job is not cancelled"
    );
    oracle
        .jobs
        .get_mut("j-1")
        .expect("no such job")
        .reported_cancelled_at = Some(-100.0);
    oracle.check_cancelled();
    oracle.check_cancelled();
    let found: Vec<Rule> = oracle
        .violations
        .iter()
        .map(|violation| violation.rule)
        .collect();
    assert_eq!(found, [Rule::RanAfterCancellation]);
}
