//! A short run of the soak with a fixed seed, and what the soak itself must do: take only options that make
//! sense, plan the same faults for the same seed, and judge.

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

/// Seed, length and size of the run in CI.
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

/// Real controllers, overlapping faults: no rule is broken. A machine too slow for the run's times gets it
/// once more at half the pace, and then is no excuse.
#[test]
fn a_short_soak() {
    for scale in ["0.1", "0.2"] {
        let arguments = CI_RUN.into_iter().chain(["--scale", scale]);
        let mut options = Options::parse_from(arguments);
        options.binary = Some(PathBuf::from(env!("CARGO_BIN_EXE_cedarladder")));
        match soak::soak(&options).expect("the soak runs") {
            Verdict::Passed => return,
            Verdict::Failed => panic!("a rule was broken: see above"),
            Verdict::TooSlow => println!("too slow to judge at scale {scale}"),
        }
    }
    panic!("this machine is too slow to judge the soak");
}

/// Options that make no sense are refused, and the message names them.
#[test]
fn options() {
    for (arguments, named) in [
        (vec!["--sed", "1"], "--sed"),
        (vec!["--seed", "one"], "--seed"),
        (vec!["--duration", "0"], "--duration"),
        (vec!["--scale", "nan"], "--scale"),
        (vec!["--nodes", "0"], "--nodes"),
        (vec!["--machines", "5000"], "--machines"),
        (vec!["--seeds", "f", "--seed", "1"], "--seeds"),
    ] {
        let all = ["soak"].into_iter().chain(arguments.clone());
        let error = Options::try_parse_from(all).expect_err("no such options");
        assert_eq!(error.exit_code(), 2, "{arguments:?}");
        let text = error.to_string();
        assert!(text.contains(named), "{arguments:?}: {text}");
    }
}

/// A seed file that can't be read, or holds no seeds, is named with what to do.
#[test]
fn seed_files() {
    let folder = std::env::temp_dir().join(format!("cedarladder-seeds-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).expect("a file");
        path
    };
    let seeds = |path: PathBuf| {
        let mut options = Options::parse_from(["soak"]);
        options.seeds = Some(path);
        options.run_seeds()
    };
    let good = seeds(file("good", "# of last week\n7\n\n 19\n"));
    assert_eq!(good.ok(), Some(vec![7, 19]));
    let missing = seeds(folder.join("missing"));
    assert!(matches!(missing, Err(OptionsError::Unreadable { .. })));
    let odd = seeds(file("odd", "7\n-3\n"));
    assert!(matches!(
        odd,
        Err(OptionsError::InvalidSeed { line: 2, .. })
    ));
    let empty = seeds(file("empty", "\n"));
    assert!(matches!(empty, Err(OptionsError::NoSeeds { .. })));
    for error in [missing, odd, empty].into_iter().filter_map(Result::err) {
        let text = error.to_string();
        assert!(text.contains("--seeds"), "{text}");
        let remedy = text.contains("name a readable file") || text.contains("write ");
        assert!(remedy, "{text}");
    }
    std::fs::remove_dir_all(&folder).expect("removed");
}

/// The same seed plans the same faults; the meeting of held starts and cancellations is in each plan.
#[test]
fn plans() {
    for seed in 0..20 {
        let plan = schedule(seed, 3, 40.0, 0.1);
        assert_eq!(plan, schedule(seed, 3, 40.0, 0.1), "seed {seed}");
        let held = plan.iter().find(|p| p.fault == Fault::DelayCommands);
        let held = held.expect("commands are held");
        // Half of the lateness at least.
        assert!(held.delay_s / 2.0 >= 5.15, "longer than cancel_s: {held:?}");
        let storms = plan.iter().filter(|p| p.fault == Fault::CancelManyJobs);
        assert!(storms.count() >= 3, "seed {seed}");
    }
    assert_ne!(schedule(1, 3, 40.0, 0.1), schedule(2, 3, 40.0, 0.1));
}

/// Of several verdicts the worst counts, and none at all is no pass.
#[test]
fn verdicts() {
    use Verdict::{Failed, Passed, TooSlow};
    for (all, expected) in [
        (vec![Passed, Passed], Passed),
        (vec![Passed, TooSlow], TooSlow),
        (vec![TooSlow, Failed, Passed], Failed),
        (vec![], TooSlow),
    ] {
        assert_eq!(worst(all.iter().copied()), expected, "{all:?}");
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

/// Each: what a world looks like in which task 0 of a job begins on h1, and the rule that this breaks.
#[test]
fn broken_rules_are_found() {
    type Case = (&'static str, fn(&mut Oracle), Option<Rule>);
    fn on(oracle: &mut Oracle, worker: &str, task: &str) {
        let machine = oracle.machines.get_mut(worker).expect("a machine");
        machine.tasks.push(Task {
            name: task.to_owned(),
            attempt: 1,
            state: State::Running(f64::INFINITY),
        });
    }
    fn job(oracle: &mut Oracle) -> &mut Job {
        oracle.jobs.get_mut("j-1").expect("a job")
    }
    let cases: [Case; 10] = [
        ("nothing wrong", |_| {}, None),
        (
            "it is on another machine",
            |t| on(t, "h2", "j-1/0"),
            Some(Rule::RanTwice),
        ),
        (
            "cancelled long ago",
            |t| job(t).reported_cancelled_at = Some(-100.0),
            Some(Rule::RanAfterCancellation),
        ),
        (
            "cancelled just now",
            |t| job(t).reported_cancelled_at = Some(0.0),
            None,
        ),
        (
            "its team is at its limit",
            |t| on(t, "h2", "j-2/0"),
            Some(Rule::QuotaExceeded),
        ),
        (
            "another team is beyond any limit",
            |t| {
                job(t).spec.team = FREE_TEAM;
                on(t, "h2", "j-2/0");
            },
            None,
        ),
        (
            "the wrong zone",
            |t| job(t).spec.zone = Some("b"),
            Some(Rule::WrongPlacement),
        ),
        (
            "a spot machine",
            |t| t.machines.get_mut("h1").expect("a machine").spot = true,
            Some(Rule::WrongPlacement),
        ),
        (
            "one zone, and its mate is in the other",
            |t| {
                job(t).spec.one_zone = true;
                on(t, "h2", "j-1/1");
            },
            Some(Rule::WrongPlacement),
        ),
        (
            "spread, and its mate is in the same zone",
            |t| {
                job(t).spec.spread = true;
                on(t, "h1", "j-1/1");
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
        // The other job's task takes all that is left of the limit.
        oracle.jobs.get_mut("j-2").expect("a job").spec.cpus = 8.0;
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

/// What is still on a machine past its job's cancellation is found once.
#[test]
fn cancelled_tasks_are_found() {
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
    assert!(oracle.violations.is_empty(), "not cancelled");
    oracle
        .jobs
        .get_mut("j-1")
        .expect("a job")
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
