//! Tasks that fail: whether the machine is at fault or the job, and what follows for the others.

mod common;
mod world;

use cedarladder::bookkeeping::failure_attribution::{JobFailures, WorkerFailures};
use cedarladder::bookkeeping::jobs::Jobs;
use cedarladder::bookkeeping::quotas::Quotas;
use cedarladder::bookkeeping::workers::Workers;
use cedarladder::coordination::scheduler::{Assignments, CycleLimits, SchedulingCycle};
use common::{instance_type, job, spec, worker};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use world::World;

/// For so long a job avoids a worker on which it has failed, in these tests.
const AVOID_S: f64 = 10.0;

#[test]
fn a_job_that_fails_on_several_workers_is_crash_looping() {
    // Failures as (worker, time), `None` for a success; whether the job is crash-looping at the end.
    type Event = Option<(&'static str, f64)>;
    let cases: [(&str, &[Event], bool); 7] = [
        ("nothing has failed", &[], false),
        (
            "many failures on one worker",
            &[
                Some(("a", 0.0)),
                Some(("a", 0.1)),
                Some(("a", 0.2)),
                Some(("a", 9.0)),
            ],
            false,
        ),
        (
            "failures on two workers",
            &[Some(("a", 0.0)), Some(("b", 0.1)), Some(("b", 0.2))],
            false,
        ),
        (
            "failures on three workers",
            &[Some(("a", 0.0)), Some(("b", 0.1)), Some(("c", 0.2))],
            true,
        ),
        (
            "a success in between",
            &[Some(("a", 0.0)), Some(("b", 0.1)), None, Some(("c", 0.2))],
            false,
        ),
        (
            "a success at the end",
            &[Some(("a", 0.0)), Some(("b", 0.1)), Some(("c", 0.2)), None],
            false,
        ),
        (
            "the only worker, tried again after it was avoided",
            &[Some(("a", 0.0)), Some(("a", AVOID_S))],
            true,
        ),
    ];
    for (name, events, crash_looping) in cases {
        let mut failures = JobFailures::default();
        for event in events {
            match event {
                Some((worker, at)) => {
                    failures.record_failure(worker, AVOID_S, *at);
                }
                None => failures.record_success(),
            }
        }
        assert_eq!(failures.is_crash_looping(), crash_looping, "{name}");
    }
}

#[test]
fn a_worker_is_cordoned_and_quarantined_by_its_failures() {
    enum Event {
        Failed(&'static str, bool),
        WorksElsewhere(&'static str),
        AttributedToJob(&'static str),
        Completed,
    }
    use Event::{AttributedToJob, Completed, Failed, WorksElsewhere};
    /// Healthy, cordoned (no more tasks), or quarantined (released).
    #[derive(Debug, PartialEq)]
    enum Verdict {
        Healthy,
        Cordoned,
        Quarantined,
    }
    use Verdict::{Cordoned, Healthy, Quarantined};
    let cases: [(&str, &[Event], Verdict); 10] = [
        ("nothing has failed", &[], Healthy),
        (
            "one job that has succeeded nowhere, however often",
            &[
                Failed("j", false),
                Failed("j", false),
                Failed("j", false),
                Failed("j", false),
            ],
            Healthy,
        ),
        (
            "one job that has succeeded elsewhere",
            &[Failed("j", true), Failed("j", true), Failed("j", true)],
            Quarantined,
        ),
        (
            "one job that succeeds elsewhere afterwards",
            &[
                Failed("j", false),
                Failed("j", false),
                Failed("j", false),
                WorksElsewhere("j"),
            ],
            Quarantined,
        ),
        (
            "three jobs of one task each",
            &[Failed("j", false), Failed("k", false), Failed("l", false)],
            Cordoned,
        ),
        (
            "three jobs of one task each, which succeed elsewhere then",
            &[
                Failed("j", false),
                Failed("k", false),
                Failed("l", false),
                WorksElsewhere("j"),
                WorksElsewhere("k"),
                WorksElsewhere("l"),
            ],
            Quarantined,
        ),
        (
            "two jobs that have succeeded nowhere",
            &[Failed("j", false), Failed("j", false), Failed("k", false)],
            Cordoned,
        ),
        (
            "one of them turns out to be at fault itself",
            &[
                Failed("j", false),
                Failed("j", false),
                Failed("k", false),
                AttributedToJob("j"),
            ],
            Healthy,
        ),
        (
            "a task completes in between",
            &[
                Failed("j", true),
                Failed("j", true),
                Completed,
                Failed("j", true),
            ],
            Healthy,
        ),
        (
            "a proof for a job that has not failed here",
            &[
                Failed("j", false),
                Failed("j", false),
                Failed("j", false),
                WorksElsewhere("k"),
            ],
            Healthy,
        ),
    ];
    for (name, events, expected) in cases {
        let mut failures = WorkerFailures::default();
        for event in events {
            match event {
                Failed(job, proven) => failures.record_failure(job, *proven),
                WorksElsewhere(job) => failures.attribute_to_worker(job),
                AttributedToJob(job) => failures.attribute_to_job(job),
                Completed => failures.record_success(),
            }
        }
        let verdict = match (failures.is_cordoned(), failures.is_quarantined()) {
            (_, true) => Quarantined,
            (true, false) => Cordoned,
            (false, false) => Healthy,
        };
        assert_eq!(verdict, expected, "{name}");
    }
}

#[test]
fn probes_of_a_crash_looping_job_back_off() {
    let mut failures = JobFailures::default();
    let waits: Vec<f64> = (0..7).map(|_| failures.next_backoff_s(2.0)).collect();
    assert_eq!(waits, [2.0, 4.0, 8.0, 16.0, 32.0, 32.0, 32.0]);
    failures.record_success();
    assert_eq!(failures.next_backoff_s(2.0), 2.0);
}

/// One scheduling cycle for a job of six tasks, whose tasks failed on these workers, beside empty workers.
fn pass(failed_on: &[&str], workers: &[&str], now: f64) -> Assignments {
    let mut jobs = Jobs::default();
    let mut broken = job(spec("j-000001", 6));
    for name in failed_on {
        broken.failures.record_failure(name, AVOID_S, 100.0);
    }
    jobs.insert(broken);
    let mut table = Workers::default();
    for name in workers {
        table.get_or_insert_with(name, || worker(name, "a", false));
    }
    let quotas = Quotas::new(&[common::team("t", 0.0, 100.0)]);
    let limits = CycleLimits {
        starvation_after_s: 50.0,
        avoid_failed_worker_s: AVOID_S,
    };
    let pass = SchedulingCycle::new(&jobs, &table, &[instance_type("f")], &quotas, limits, now);
    pass.run(&mut SmallRng::seed_from_u64(1))
}

#[test]
fn tasks_avoid_workers_on_which_the_job_failed() {
    // Failed on; workers; time; binds and missing tasks expected; workers that must get none.
    type Case = (
        &'static str,
        &'static [&'static str],
        &'static [&'static str],
        f64,
        (usize, u32),
        &'static [&'static str],
    );
    let cases: [Case; 6] = [
        ("none failed", &[], &["a", "b"], 101.0, (6, 0), &[]),
        (
            "failed on one: to others",
            &["a"],
            &["a", "b", "c"],
            101.0,
            (6, 0),
            &["a"],
        ),
        (
            "failed on the only one: waits",
            &["a"],
            &["a"],
            101.0,
            (0, 6),
            &["a"],
        ),
        (
            "later it is tried again",
            &["a"],
            &["a"],
            111.0,
            (4, 2),
            &[],
        ),
        (
            "crash-looping: one probe, where it has not failed",
            &["a", "b", "c"],
            &["a", "b", "c", "d"],
            101.0,
            (1, 0),
            &["a", "b", "c"],
        ),
        (
            "crash-looping: one probe, anywhere if need be",
            &["a", "b", "c"],
            &["a", "b"],
            101.0,
            (1, 0),
            &[],
        ),
    ];
    for (name, failed_on, workers, now, expected, none_on) in cases {
        let plan = pass(failed_on, workers, now);
        let missing = plan
            .pending_demand
            .iter()
            .map(|unplaced| unplaced.count)
            .sum();
        assert_eq!((plan.bindings.len(), missing), expected, "{name}");
        for (_, worker) in &plan.bindings {
            assert!(!none_on.contains(&worker.as_str()), "{name}: {worker}");
        }
    }
}

/// Services and a stream of short arrays, on up to 48 machines.
fn crowded(seed: u64, nodes: usize) -> World {
    let mut world = World::with_size(seed, nodes, 12);
    for n in 0..4 {
        world.add_user(n, 0.5, (4, 0.0, true, false), None);
    }
    for n in 10..50 {
        let at = 1.0 + 3.0 * f64::from(n - 10);
        world.add_user(n, at, (20, 6.0, false, n % 2 == 0), None);
    }
    world
}

fn failures_of(world: &World, n: u32) -> u32 {
    let id = format!("j-{n:06}");
    world.counts.failures_per_job.get(&id).copied().unwrap_or(0)
}

/// Probes that a broken job may have within a minute and a half, with those of a new leader.
const MAX_PROBES: u32 = 10;

/// Crash-looping jobs get no machine released, are tried again one task at a time, stay known, and are
/// cancelled at once.
#[test]
fn crash_looping_jobs_get_no_busy_worker_released() {
    type Trouble = fn(&mut World);
    // Tasks, service, how often all of them may fail at once, and what else goes on.
    let cases: [(&str, u32, bool, u32, Trouble); 5] = [
        ("an array", 40, false, 1, |_| {}),
        ("an array of one task", 1, false, 3, |_| {}),
        ("a service", 6, true, 2, |_| {}),
        // The new leader is told which jobs are crash-looping, and begins with probes.
        ("an array, and the leader is replaced", 40, false, 1, |w| {
            w.run_until(60.0);
            assert!(w.restart_leader(5.0));
        }),
        ("an array, and the leader pauses", 40, false, 1, |w| {
            w.run_until(60.0);
            assert!(w.pause_leader(9.0));
        }),
    ];
    for (name, tasks, standing, times, trouble) in cases {
        for nodes in [3, 5] {
            let name = format!("{name}, {nodes} controllers");
            let mut world = crowded(21, nodes);
            for n in 0..4 {
                let at = 30.0 + 2.0 * f64::from(n);
                world.add_failing_job(100 + n, at, (tasks, standing), 110.0 + f64::from(n));
            }
            trouble(&mut world);
            world.run_until(108.0);
            assert_eq!(
                world.unanswered_jobs(10.0),
                Vec::<&str>::new(),
                "{name}: known"
            );
            for n in 100..104 {
                let failures = failures_of(&world, n);
                assert!(failures >= 3, "{name}: it did fail: {failures}");
                let most = tasks * times + MAX_PROBES;
                assert!(failures <= most, "{name}: {failures} failures");
            }
            assert_eq!(
                world.deleted_while_busy,
                Vec::<String>::new(),
                "{name}: machines with work"
            );
            world.run_until(120.0);
            assert!(
                world.cancellations_confirmed(108.0, 120.0) >= 4,
                "{name}: cancelled"
            );
            world.run_until(260.0);
            world.check(&name);
        }
    }
}

/// Faulty machines are released soon, also beside jobs that fail everywhere; sound ones stay.
#[test]
fn faulty_workers_are_quarantined() {
    for broken in [false, true] {
        for nodes in [3, 5] {
            let name = format!("broken jobs: {broken}, {nodes} controllers");
            let mut world = crowded(22, nodes);
            world.run_until(30.0);
            let faulty: Vec<String> = (0..4)
                .filter_map(|n| world.make_worker_faulty(2 * n))
                .collect();
            if broken {
                for n in 0..3 {
                    let at = 30.5 + 2.0 * f64::from(n);
                    world.add_failing_job(100 + n, at, (20, false), 90.0);
                }
            }
            world.run_until(75.0);
            // Four tasks fit on a machine, and each broken job may fill it once.
            let most = if broken { 12 + 3 * 4 } else { 12 };
            let mut failed = 0;
            for machine in &faulty {
                let failures = world.failures_on(machine);
                failed += u32::from(failures >= 3);
                assert!(failures <= most, "{name}: {failures} failures on {machine}");
                let gone = !world.has_instance(machine);
                assert!(gone || failures < 3, "{name}: {machine} is given back");
            }
            assert!(failed >= 2, "{name}: tasks failed on them");
            let sound = world.deleted_while_busy_except(&faulty);
            assert_eq!(sound, 0, "{name}: sound machines with work");
            world.run_until(260.0);
            world.check(&name);
        }
    }
}
