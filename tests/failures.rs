//! Failing tasks: whether the failures are attributed to the worker or to the job, and how the scheduler and the
//! fleet treat both.

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

/// Seconds for which a job avoids a worker on which it has failed, in these tests.
const AVOID_S: f64 = 10.0;

#[test]
fn a_job_that_fails_on_several_workers_is_crash_looping() {
    // Each case: failures as (worker, time), or `None` for a success; and whether the job is crash-looping
    // afterwards.
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
            "a second failure on the only worker, after it was avoided",
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
        assert_eq!(
            failures.is_crash_looping(),
            crash_looping,
            "{name}: whether the job is crash-looping"
        );
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
    /// What follows for the worker: a cordoned one gets no more tasks, a quarantined one is released.
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
            "many failures of one job that has succeeded nowhere",
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
            "three jobs of one task each, which succeed elsewhere afterwards",
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
            "two jobs that have succeeded nowhere, and one turns out to be faulty",
            &[
                Failed("j", false),
                Failed("j", false),
                Failed("k", false),
                AttributedToJob("j"),
            ],
            Healthy,
        ),
        (
            "one job that has succeeded elsewhere, and a task completes in between",
            &[
                Failed("j", true),
                Failed("j", true),
                Completed,
                Failed("j", true),
            ],
            Healthy,
        ),
        (
            "a job succeeds elsewhere that has not failed here",
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
                Failed(job, job_works_elsewhere) => {
                    failures.record_failure(job, *job_works_elsewhere);
                }
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
        assert_eq!(verdict, expected, "{name}: verdict on the worker");
    }
}

#[test]
fn probes_of_a_crash_looping_job_back_off() {
    let mut failures = JobFailures::default();
    let waits: Vec<f64> = (0..7).map(|_| failures.next_backoff_s(2.0)).collect();
    assert_eq!(
        waits,
        [2.0, 4.0, 8.0, 16.0, 32.0, 32.0, 32.0],
        "back-off in seconds after each probe"
    );
    failures.record_success();
    assert_eq!(
        failures.next_backoff_s(2.0),
        2.0,
        "back-off in seconds after a success"
    );
}

/// Runs a scheduling cycle with `workers` that are empty, for a job of six tasks that has failed on `failed_on` at
/// second 100.
fn run_cycle(failed_on: &[&str], workers: &[&str], now: f64) -> Assignments {
    let mut jobs = Jobs::default();
    let mut failing = job(spec("j-000001", 6));
    for name in failed_on {
        failing.failures.record_failure(name, AVOID_S, 100.0);
    }
    jobs.insert(failing);
    let mut table = Workers::default();
    for name in workers {
        table.get_or_insert_with(name, || worker(name, "a", false));
    }
    let quotas = Quotas::new(&[common::team("t", 0.0, 100.0)]);
    let limits = CycleLimits {
        starvation_after_s: 50.0,
        avoid_failed_worker_s: AVOID_S,
    };
    let cycle = SchedulingCycle::new(&jobs, &table, &[instance_type("f")], &quotas, limits, now);
    cycle.run(&mut SmallRng::seed_from_u64(1))
}

#[test]
fn tasks_avoid_workers_on_which_the_job_failed() {
    // Each case: the workers on which the job has failed; all workers; the time; the expected numbers of
    // bindings and of tasks that are not placed; and the workers that must get no task.
    type Case = (
        &'static str,
        &'static [&'static str],
        &'static [&'static str],
        f64,
        (usize, u32),
        &'static [&'static str],
    );
    let cases: [Case; 6] = [
        ("no failures", &[], &["a", "b"], 101.0, (6, 0), &[]),
        (
            "failed on one worker: placed on others",
            &["a"],
            &["a", "b", "c"],
            101.0,
            (6, 0),
            &["a"],
        ),
        (
            "failed on the only worker: waits",
            &["a"],
            &["a"],
            101.0,
            (0, 6),
            &["a"],
        ),
        (
            "failed on the only worker, and the time to avoid it is over: placed there",
            &["a"],
            &["a"],
            111.0,
            (4, 2),
            &[],
        ),
        (
            "crash-looping: one probe, on a worker where it has not failed",
            &["a", "b", "c"],
            &["a", "b", "c", "d"],
            101.0,
            (1, 0),
            &["a", "b", "c"],
        ),
        (
            "crash-looping, and it has failed on all workers: one probe on any of them",
            &["a", "b", "c"],
            &["a", "b"],
            101.0,
            (1, 0),
            &[],
        ),
    ];
    for (name, failed_on, workers, now, expected, none_on) in cases {
        let assignments = run_cycle(failed_on, workers, now);
        let unplaced = assignments
            .pending_demand
            .iter()
            .map(|demand| demand.count)
            .sum();
        assert_eq!(
            (assignments.bindings.len(), unplaced),
            expected,
            "{name}: numbers of bindings and of tasks that were not placed"
        );
        for (_, worker) in &assignments.bindings {
            assert!(
                !none_on.contains(&worker.as_str()),
                "{name}: task placed on {worker}, which must get none"
            );
        }
    }
}

/// Creates a world with services and a stream of short arrays, on up to 48 workers.
fn busy_world(seed: u64, controllers: usize) -> World {
    let mut world = World::with_size(seed, controllers, 12);
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

/// Maximum number of probes of a failing job from its submission until it is checked, at most 78 s later, including
/// the probes by a new leader.
const MAX_PROBES: u32 = 10;

/// Failures of crash-looping jobs must not get workers with other tasks released. A crash-looping job is probed with
/// one task at a time, status requests for the job still get responses, and the job can be cancelled within seconds.
#[test]
fn crash_looping_jobs_get_no_busy_worker_released() {
    type Fault = fn(&mut World);
    // Each case: the number of tasks, whether the job is a service, how often each of its tasks may fail before the
    // job is found to be crash-looping, and a fault that is injected into the leader.
    let cases: [(&str, u32, bool, u32, Fault); 5] = [
        ("an array", 40, false, 1, |_| {}),
        ("an array of one task", 1, false, 3, |_| {}),
        ("a service", 6, true, 2, |_| {}),
        // The new leader learns from its peers which jobs are crash-looping, and starts them with a probe.
        (
            "an array, and the leader is replaced",
            40,
            false,
            1,
            |world| {
                world.run_until(60.0);
                assert!(world.restart_leader(5.0), "no leader to restart");
            },
        ),
        ("an array, and the leader pauses", 40, false, 1, |world| {
            world.run_until(60.0);
            assert!(world.pause_leader(9.0), "no leader to pause");
        }),
    ];
    for (name, tasks, is_service, full_failures, inject_fault) in cases {
        for controllers in [3, 5] {
            let name = format!("{name}, {controllers} controllers");
            let mut world = busy_world(21, controllers);
            for n in 0..4 {
                let at = 30.0 + 2.0 * f64::from(n);
                world.add_failing_job(100 + n, at, (tasks, is_service), 110.0 + f64::from(n));
            }
            inject_fault(&mut world);
            world.run_until(108.0);
            assert_eq!(
                world.unanswered_jobs(10.0),
                Vec::<&str>::new(),
                "{name}: jobs whose status requests got no response for 10 s"
            );
            for n in 100..104 {
                let failures = failures_of(&world, n);
                assert!(
                    failures >= 3,
                    "{name}: {failures} failures of job {n}, at least 3 expected"
                );
                let most = tasks * full_failures + MAX_PROBES;
                assert!(
                    failures <= most,
                    "{name}: {failures} failures of job {n}, at most {most} expected"
                );
            }
            assert_eq!(
                world.deleted_while_busy,
                Vec::<String>::new(),
                "{name}: workers deleted while they ran tasks"
            );
            world.run_until(120.0);
            assert!(
                world.cancellations_confirmed(108.0, 120.0) >= 4,
                "{name}: fewer than 4 cancellations of failing jobs confirmed within 12 s"
            );
            world.run_until(260.0);
            world.check(&name);
        }
    }
}

/// Faulty workers on which at least three tasks have failed are released within 45 s, even while there are jobs that
/// fail on all workers; workers without a fault are kept while they run tasks.
#[test]
fn faulty_workers_are_quarantined() {
    for broken in [false, true] {
        for controllers in [3, 5] {
            let name = format!("failing jobs: {broken}, {controllers} controllers");
            let mut world = busy_world(22, controllers);
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
            // The failing jobs add to the limit: four tasks fit on a worker, and each of the three failing jobs may
            // fill the worker once.
            let most = if broken { 12 + 3 * 4 } else { 12 };
            let mut failed = 0;
            for faulty_worker in &faulty {
                let failures = world.failures_on(faulty_worker);
                failed += u32::from(failures >= 3);
                assert!(
                    failures <= most,
                    "{name}: {failures} failures on {faulty_worker}, at most {most} expected"
                );
                let gone = !world.has_instance(faulty_worker);
                assert!(
                    gone || failures < 3,
                    "{name}: {faulty_worker} is not deleted after {failures} failures"
                );
            }
            assert!(
                failed >= 2,
                "{name}: tasks failed on only {failed} of the faulty workers"
            );
            let healthy = world.deleted_while_busy_except(&faulty);
            assert_eq!(
                healthy, 0,
                "{name}: healthy workers deleted while they ran tasks"
            );
            world.run_until(260.0);
            world.check(&name);
        }
    }
}
