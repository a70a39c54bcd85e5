//! Table tests of the scheduler: placement, quotas and preemption.

mod common;

use cedarladder::bookkeeping::jobs::{Job, Jobs};
use cedarladder::bookkeeping::quotas::Quotas;
use cedarladder::bookkeeping::workers::{Worker, Workers};
use cedarladder::coordination::scheduler::{Assignments, CycleLimits, SchedulingCycle};
use cedarladder::protocol::job::{JobKind, JobSpec, PriorityClass};
use common::{binding, instance_type, job, spec, task, team, worker};
use rand::SeedableRng;
use rand::rngs::SmallRng;

struct Cluster {
    jobs: Jobs,
    workers: Workers,
    quotas: Quotas,
}

impl Cluster {
    fn new(workers: Vec<Worker>, jobs: Vec<JobSpec>) -> Cluster {
        let mut cluster = Cluster {
            jobs: Jobs::default(),
            workers: Workers::default(),
            quotas: Quotas::new(&[team("t", 4.0, 12.0), team("u", 8.0, 0.0)]),
        };
        for worker in workers {
            let name = worker.name.clone();
            cluster.workers.get_or_insert_with(&name, || worker);
        }
        for spec in jobs {
            cluster.jobs.insert(job(spec));
        }
        cluster
    }

    /// Binds a task to a worker, where it has been running since `since`.
    fn bind(mut self, name: &str, id: &str, index: u32, since: f64) -> Cluster {
        let job = self.jobs.get_mut(id).unwrap();
        let worker = self.workers.get_mut(name).unwrap();
        let mut binding = binding(&job.spec, 1);
        binding.running_since = Some(since);
        self.quotas.charge(&job.spec.team, job.spec.cpus, 0.0);
        job.bind(index, name, &worker.zone);
        worker.bindings.insert(task(id, index), binding);
        self
    }

    fn run(&self) -> Assignments {
        let instance_types = [instance_type("f")];
        let limits = CycleLimits {
            starvation_after_s: 50.0,
            avoid_failed_worker_s: 10.0,
        };
        let cycle = SchedulingCycle::new(
            &self.jobs,
            &self.workers,
            &instance_types,
            &self.quotas,
            limits,
            100.0,
        );
        cycle.run(&mut SmallRng::seed_from_u64(1))
    }
}

/// Returns the default specification of a job, changed by `change`.
fn with(id: &str, tasks: u32, change: impl Fn(&mut JobSpec)) -> JobSpec {
    let mut spec = spec(id, tasks);
    change(&mut spec);
    spec
}

/// Name, cluster, and the expected assignments: the workers of the bindings in the order of the bindings, the preempted
/// tasks, and the number of tasks in the pending demand.
type Case = (
    &'static str,
    Cluster,
    Vec<&'static str>,
    Vec<&'static str>,
    u32,
);

#[test]
fn placement() {
    let on_demand = || vec![worker("o-a", "a", false), worker("o-b", "b", false)];
    let all = || {
        let mut workers = on_demand();
        workers.push(worker("s-a", "a", true));
        workers
    };
    let mut reclaimed = worker("s-a", "a", true);
    reclaimed.reclaim_at = Some(110.0);
    let mut faulty = worker("o-a", "a", false);
    for _ in 0..3 {
        faulty.failures.record_failure("j-000009", true);
    }
    let mut unacknowledged = worker("o-a", "a", false);
    unacknowledged.token_acknowledged = false;
    let mut unreachable = worker("o-a", "a", false);
    unreachable.unreachable_since = Some(90.0);
    let cases: Vec<Case> = vec![
        (
            "tasks are placed on spot workers before on-demand workers",
            Cluster::new(all(), vec![spec("j-1", 2)]),
            vec!["s-a", "s-a"],
            vec![],
            0,
        ),
        (
            "no task on an unreachable worker",
            Cluster::new(vec![unreachable], vec![spec("j-1", 1)]),
            vec![],
            vec![],
            1,
        ),
        (
            "no spot worker for a job that may not use them",
            Cluster::new(all(), vec![with("j-1", 1, |s| s.spot = false)]),
            vec!["o-a"],
            vec![],
            0,
        ),
        (
            "tasks are placed only in the zone that the job allows",
            Cluster::new(all(), vec![with("j-1", 1, |s| s.zone = Some("b".into()))]),
            vec!["o-b"],
            vec![],
            0,
        ),
        (
            "no worker of an allowed instance type",
            Cluster::new(
                all(),
                vec![with("j-1", 1, |s| {
                    s.instance_types = Some(vec!["x".into()]);
                })],
            ),
            vec![],
            vec![],
            1,
        ),
        (
            "spread: at most half of the tasks, rounded up, in a zone",
            Cluster::new(
                vec![worker("o-a", "a", false)],
                vec![with("j-1", 5, |s| {
                    s.spread = true;
                    s.cpus = 1.0;
                })],
            ),
            vec!["o-a", "o-a", "o-a"],
            vec![],
            2,
        ),
        (
            "one_zone: only the zone with more free capacity",
            Cluster::new(
                on_demand(),
                vec![with("j-1", 6, |s| s.one_zone = true), spec("j-2", 1)],
            )
            .bind("o-a", "j-2", 0, 0.0),
            vec!["o-b", "o-b", "o-b", "o-b"],
            vec![],
            1,
        ),
        (
            "both tasks bound before and tasks placed in the cycle count towards the team's limit",
            Cluster::new(
                vec![worker("o-a", "a", false), worker("o-b", "b", false)],
                vec![spec("j-1", 5), spec("j-2", 9)],
            )
            .bind("o-a", "j-1", 0, 0.0),
            vec!["o-a", "o-a", "o-a", "o-b", "o-b"],
            vec![],
            0,
        ),
        (
            "no task on a worker that is about to be reclaimed",
            Cluster::new(vec![reclaimed], vec![spec("j-1", 1)]),
            vec![],
            vec![],
            1,
        ),
        (
            "no task on a worker where tasks have failed three times",
            Cluster::new(vec![faulty], vec![spec("j-1", 1)]),
            vec![],
            vec![],
            1,
        ),
        (
            "no task on a worker that has not acknowledged the token",
            Cluster::new(vec![unacknowledged], vec![spec("j-1", 1)]),
            vec![],
            vec![],
            1,
        ),
        (
            "gang: all tasks or none; only the tasks beyond the free capacity are pending demand",
            Cluster::new(
                vec![worker("o-a", "a", false)],
                vec![with("j-1", 5, |s| s.kind = JobKind::Gang)],
            ),
            vec![],
            vec![],
            1,
        ),
        (
            "a job of higher priority preempts the task that loses the least work",
            Cluster::new(
                vec![worker("o-a", "a", false)],
                vec![
                    with("j-1", 4, |s| s.team = "u".into()),
                    with("j-2", 1, |s| s.priority = PriorityClass::Urgent),
                ],
            )
            .bind("o-a", "j-1", 0, 10.0)
            .bind("o-a", "j-1", 1, 90.0)
            .bind("o-a", "j-1", 2, 50.0)
            .bind("o-a", "j-1", 3, 20.0),
            vec![],
            vec!["j-1/1"],
            0,
        ),
        (
            "a job of the same priority preempts nothing",
            Cluster::new(
                vec![worker("o-a", "a", false)],
                vec![
                    with("j-1", 4, |s| s.team = "u".into()),
                    with("j-2", 1, |s| s.team = "u".into()),
                ],
            )
            .bind("o-a", "j-1", 0, 10.0)
            .bind("o-a", "j-1", 1, 90.0)
            .bind("o-a", "j-1", 2, 50.0)
            .bind("o-a", "j-1", 3, 20.0),
            vec![],
            vec![],
            1,
        ),
        (
            "a job within its team's quota preempts a task of a team that exceeds its own",
            Cluster::new(
                vec![worker("o-a", "a", false)],
                vec![spec("j-1", 4), with("j-2", 1, |s| s.team = "u".into())],
            )
            .bind("o-a", "j-1", 0, 10.0)
            .bind("o-a", "j-1", 1, 90.0)
            .bind("o-a", "j-1", 2, 50.0)
            .bind("o-a", "j-1", 3, 20.0),
            vec![],
            vec!["j-1/1"],
            0,
        ),
    ];
    for (name, cluster, bound_to, preemptions, unplaced) in cases {
        let assignments = cluster.run();
        let got: Vec<&str> = assignments
            .bindings
            .iter()
            .map(|(_, worker)| worker.as_str())
            .collect();
        assert_eq!(got, bound_to, "{name}: workers of the bindings");
        let got: Vec<String> = assignments
            .preemptions
            .iter()
            .map(|(_, task)| task.to_string())
            .collect();
        assert_eq!(got, preemptions, "{name}: preempted tasks");
        let got: u32 = assignments
            .pending_demand
            .iter()
            .map(|demand| demand.count)
            .sum();
        assert_eq!(got, unplaced, "{name}: tasks in the pending demand");
    }
}

/// A starving job is scheduled before other jobs of its priority, but not before jobs of a higher priority. If a task
/// of a starving job fits on no worker at present, capacity is reserved for it.
#[test]
fn starving_jobs_are_scheduled_first() {
    let urgent = |s: &mut JobSpec| s.priority = PriorityClass::Urgent;
    let large = |s: &mut JobSpec| s.cpus = 8.0;
    // Name, number of tasks that are bound to the only worker before the cycle, jobs with their submission times, and
    // the expected jobs of the cycle's bindings in their order. The cycle takes place at 100 s, and jobs starve after
    // 50 s.
    type Case = (&'static str, u32, Vec<(JobSpec, f64)>, Vec<&'static str>);
    let cases: Vec<Case> = vec![
        (
            "a starving job is first, although its deadline has passed",
            0,
            vec![
                (with("j-1", 1, |s| s.deadline_s = Some(30.0)), 99.0),
                (with("j-2", 1, |s| s.deadline_s = Some(30.0)), 10.0),
            ],
            vec!["j-2", "j-1"],
        ),
        (
            "not starving yet: jobs that can still meet their deadline are first",
            0,
            vec![
                (with("j-1", 1, |s| s.deadline_s = Some(30.0)), 99.0),
                (with("j-2", 1, |s| s.deadline_s = Some(30.0)), 60.0),
            ],
            vec!["j-1", "j-2"],
        ),
        (
            "a starving job is not ahead of a higher priority",
            0,
            vec![(with("j-1", 1, urgent), 99.0), (spec("j-2", 1), 10.0)],
            vec!["j-1", "j-2"],
        ),
        (
            "capacity is reserved for a large task of a starving job",
            2,
            vec![(spec("j-1", 2), 99.0), (with("j-2", 1, large), 10.0)],
            vec![],
        ),
        (
            "no capacity is reserved for a large task that was just submitted",
            2,
            vec![(spec("j-1", 2), 99.0), (with("j-2", 1, large), 98.0)],
            vec!["j-1", "j-1"],
        ),
    ];
    for (name, bound_tasks, jobs, expected) in cases {
        let mut cluster = Cluster::new(
            vec![worker("o-a", "a", false)],
            vec![spec("j-9", bound_tasks.max(1))],
        );
        for index in 0..bound_tasks {
            cluster = cluster.bind("o-a", "j-9", index, 50.0);
        }
        if bound_tasks == 0 {
            cluster.jobs.remove("j-9");
        }
        for (spec, submitted_at) in jobs {
            cluster.jobs.insert(Job::new(spec, 5, submitted_at));
        }
        let assignments = cluster.run();
        let got: Vec<&str> = assignments
            .bindings
            .iter()
            .map(|(task, _)| task.job.as_str())
            .collect();
        assert_eq!(got, expected, "{name}: jobs of the bindings");
    }
}

/// Replicas with a start objective of one second are placed on a worker that has their image. If this worker has no
/// free capacity, its tasks are preempted. If no worker has the image, the replicas are placed on different workers,
/// so that more workers have the image later.
#[test]
fn replicas_are_placed_by_image() {
    let replicas = |tasks| {
        let mut job = Job::new(
            with("j-1", tasks, |s| {
                s.kind = JobKind::Service;
                s.priority = PriorityClass::Production;
                s.spot = false;
                s.image_gb = 2.0;
                s.team = "u".into();
            }),
            5,
            99.9,
        );
        job.start_objective_s = Some(1.0);
        job
    };
    let with_image = |name: &str| {
        let mut worker = worker(name, "a", false);
        worker.remember_image("img");
        worker
    };
    // Name, workers, whether other tasks fill the worker `o-2`, expected workers of the bindings, and expected number
    // of preempted tasks.
    type Case = (&'static str, Vec<Worker>, bool, Vec<&'static str>, usize);
    let cases: Vec<Case> = vec![
        (
            "replicas are placed on the worker that has the image",
            vec![worker("o-1", "a", false), with_image("o-2")],
            false,
            vec!["o-2", "o-2"],
            0,
        ),
        (
            "replicas preempt tasks on the worker that has the image",
            vec![worker("o-1", "a", false), with_image("o-2")],
            true,
            vec![],
            2,
        ),
        (
            "replicas are placed on different workers if the image must be pulled",
            vec![worker("o-1", "a", false), worker("o-2", "a", false)],
            false,
            vec!["o-1", "o-2"],
            0,
        ),
    ];
    for (name, workers, image_worker_is_full, bound_to, preemptions) in cases {
        let mut cluster = Cluster::new(workers, vec![]);
        cluster.jobs.insert(replicas(2));
        if image_worker_is_full {
            cluster.jobs.insert(Job::new(spec("j-9", 4), 5, 0.0));
            for index in 0..4 {
                cluster = cluster.bind("o-2", "j-9", index, 95.0);
            }
        }
        let assignments = cluster.run();
        let got: Vec<&str> = assignments
            .bindings
            .iter()
            .map(|(_, worker)| worker.as_str())
            .collect();
        assert_eq!(got, bound_to, "{name}: workers of the bindings");
        assert_eq!(
            assignments.preemptions.len(),
            preemptions,
            "{name}: number of preempted tasks"
        );
    }
}

/// With thousands of workers, a cycle considers only samples of them for each job, and still binds the maximum number
/// of tasks, 128.
#[test]
fn a_cycle_samples_the_workers() {
    let workers = (0..2000)
        .map(|i| worker(&format!("h-{i:05}"), "a", false))
        .collect();
    let jobs = (0..300)
        .map(|i| with(&format!("j-{i}"), 50, |s| s.team = "u".into()))
        .collect();
    let assignments = Cluster::new(workers, jobs).run();
    assert_eq!(
        assignments.bindings.len(),
        128,
        "number of bindings of the cycle"
    );
}

/// Jobs that their team's limit will never allow are recognized. A service must fit completely, of an array one task.
#[test]
fn team_limits() {
    let quotas = Quotas::new(&[team("t", 4.0, 12.0), team("u", 0.0, 0.0)]);
    let cases = [
        (
            "unknown team",
            with("j-1", 1, |s| s.team = "x".into()),
            false,
        ),
        (
            "an array that does not fit completely, but of which one task fits",
            with("j-1", 100, |s| s.cpus = 12.0),
            true,
        ),
        (
            "one task exceeds the limit",
            with("j-1", 1, |s| s.cpus = 12.5),
            false,
        ),
        (
            "all replicas of a service together exceed the limit",
            with("j-1", 7, |s| s.kind = JobKind::Service),
            false,
        ),
        (
            "all replicas of a service fit",
            with("j-1", 6, |s| s.kind = JobKind::Service),
            true,
        ),
        (
            "a team without a limit",
            with("j-1", 9, |s| {
                s.team = "u".into();
                s.cpus = 1e6;
            }),
            true,
        ),
    ];
    for (name, spec, expected) in cases {
        assert_eq!(
            quotas.can_ever_run(&spec),
            expected,
            "{name}: can the job ever run?"
        );
    }
}
