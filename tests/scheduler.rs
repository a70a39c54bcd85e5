//! Placement, quotas and preemption, as tables.

mod common;

use cedarladder::bookkeeping::jobs::{Job, Jobs};
use cedarladder::bookkeeping::quotas::Quotas;
use cedarladder::bookkeeping::workers::{Worker, Workers};
use cedarladder::coordination::scheduler::{Assignments, CycleLimits, SchedulingCycle};
use cedarladder::protocol::job::{JobKind, JobSpec, PriorityClass};
use common::{binding, instance_type, job, spec, task, team, worker};
use rand::SeedableRng;
use rand::rngs::SmallRng;

struct Scene {
    jobs: Jobs,
    workers: Workers,
    quotas: Quotas,
}

impl Scene {
    fn new(workers: Vec<Worker>, jobs: Vec<JobSpec>) -> Scene {
        let mut scene = Scene {
            jobs: Jobs::default(),
            workers: Workers::default(),
            quotas: Quotas::new(&[team("t", 4.0, 12.0), team("u", 8.0, 0.0)]),
        };
        for h in workers {
            let name = h.name.clone();
            scene.workers.get_or_insert_with(&name, || h);
        }
        for spec in jobs {
            scene.jobs.insert(job(spec));
        }
        scene
    }

    /// Binds a task that runs since some time.
    fn bind(mut self, name: &str, id: &str, index: u32, since: f64) -> Scene {
        let job = self.jobs.get_mut(id).unwrap();
        let worker = self.workers.get_mut(name).unwrap();
        let mut b = binding(&job.spec, 1);
        b.running_since = Some(since);
        self.quotas.charge(&job.spec.team, job.spec.cpus, 0.0);
        job.bind(index, name, &worker.zone);
        worker.bindings.insert(task(id, index), b);
        self
    }

    fn run(&self) -> Assignments {
        let instance_types = [instance_type("f")];
        let limits = CycleLimits {
            starvation_after_s: 50.0,
            avoid_failed_worker_s: 10.0,
        };
        let pass = SchedulingCycle::new(
            &self.jobs,
            &self.workers,
            &instance_types,
            &self.quotas,
            limits,
            100.0,
        );
        pass.run(&mut SmallRng::seed_from_u64(1))
    }
}

fn with(id: &str, tasks: u32, change: impl Fn(&mut JobSpec)) -> JobSpec {
    let mut s = spec(id, tasks);
    change(&mut s);
    s
}

/// (name, scene, workers of the binds in order, evicted tasks, tasks without room)
type Case = (
    &'static str,
    Scene,
    Vec<&'static str>,
    Vec<&'static str>,
    u32,
);

#[test]
fn placement() {
    let ordinary = || vec![worker("o-a", "a", false), worker("o-b", "b", false)];
    let all = || {
        let mut workers = ordinary();
        workers.push(worker("s-a", "a", true));
        workers
    };
    let mut warned = worker("s-a", "a", true);
    warned.reclaim_at = Some(110.0);
    let mut faulty = worker("o-a", "a", false);
    for _ in 0..3 {
        faulty.failures.record_failure("j-000009", true);
    }
    let mut silent = worker("o-a", "a", false);
    silent.token_acknowledged = false;
    let mut unreached = worker("o-a", "a", false);
    unreached.unreachable_since = Some(90.0);
    let cases: Vec<Case> = vec![
        (
            "spot first",
            Scene::new(all(), vec![spec("j-1", 2)]),
            vec!["s-a", "s-a"],
            vec![],
            0,
        ),
        (
            "nothing where no answer arrives",
            Scene::new(vec![unreached], vec![spec("j-1", 1)]),
            vec![],
            vec![],
            1,
        ),
        (
            "no spot for those who may not",
            Scene::new(all(), vec![with("j-1", 1, |s| s.spot = false)]),
            vec!["o-a"],
            vec![],
            0,
        ),
        (
            "the only allowed zone",
            Scene::new(all(), vec![with("j-1", 1, |s| s.zone = Some("b".into()))]),
            vec!["o-b"],
            vec![],
            0,
        ),
        (
            "a type that nobody has",
            Scene::new(
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
            "spread: at most half, rounded up, in a zone",
            Scene::new(
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
            "one zone: the one with more room, and only that",
            Scene::new(
                ordinary(),
                vec![with("j-1", 6, |s| s.one_zone = true), spec("j-2", 1)],
            )
            .bind("o-a", "j-2", 0, 0.0),
            vec!["o-b", "o-b", "o-b", "o-b"],
            vec![],
            1,
        ),
        (
            "the team's limit counts what is bound and what is placed",
            Scene::new(
                vec![worker("o-a", "a", false), worker("o-b", "b", false)],
                vec![spec("j-1", 5), spec("j-2", 9)],
            )
            .bind("o-a", "j-1", 0, 0.0),
            vec!["o-a", "o-a", "o-a", "o-b", "o-b"],
            vec![],
            0,
        ),
        (
            "a machine about to be taken, a faulty one and one without this Epoch get nothing",
            Scene::new(vec![warned], vec![spec("j-1", 1)]),
            vec![],
            vec![],
            1,
        ),
        (
            "faulty",
            Scene::new(vec![faulty], vec![spec("j-1", 1)]),
            vec![],
            vec![],
            1,
        ),
        (
            "not heard",
            Scene::new(vec![silent], vec![spec("j-1", 1)]),
            vec![],
            vec![],
            1,
        ),
        (
            "a group goes together or not at all; what is missing is beyond the room there is",
            Scene::new(
                vec![worker("o-a", "a", false)],
                vec![with("j-1", 5, |s| s.kind = JobKind::Gang)],
            ),
            vec![],
            vec![],
            1,
        ),
        (
            "higher priority stops the task that loses least",
            Scene::new(
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
            "the same priority stops nothing",
            Scene::new(
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
            "a guarantee stops what another team has borrowed",
            Scene::new(
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
    for (name, scene, binds, halts, unplaced) in cases {
        let plan = scene.run();
        let got: Vec<&str> = plan
            .bindings
            .iter()
            .map(|(_, worker)| worker.as_str())
            .collect();
        assert_eq!(got, binds, "{name}");
        let got: Vec<String> = plan
            .preemptions
            .iter()
            .map(|(_, task)| task.to_string())
            .collect();
        assert_eq!(got, halts, "{name}");
        let got: u32 = plan.pending_demand.iter().map(|u| u.count).sum();
        assert_eq!(got, unplaced, "{name}");
    }
}

/// A job that has waited for long without a start goes first among its equals, ahead of neither
/// priority nor limit, and one with large tasks gets a machine of its own to wait for.
#[test]
fn ageing() {
    let urgent = |s: &mut JobSpec| s.priority = PriorityClass::Urgent;
    let large = |s: &mut JobSpec| s.cpus = 8.0;
    // Each: tasks of the machine's, jobs with the time they came, and whose tasks are bound first.
    type Case = (&'static str, u32, Vec<(JobSpec, f64)>, Vec<&'static str>);
    let cases: Vec<Case> = vec![
        (
            "long without a start: first, though its deadline is over",
            0,
            vec![
                (with("j-1", 1, |s| s.deadline_s = Some(30.0)), 99.0),
                (with("j-2", 1, |s| s.deadline_s = Some(30.0)), 10.0),
            ],
            vec!["j-2", "j-1"],
        ),
        (
            "a while without a start: those who can be on time first",
            0,
            vec![
                (with("j-1", 1, |s| s.deadline_s = Some(30.0)), 99.0),
                (with("j-2", 1, |s| s.deadline_s = Some(30.0)), 60.0),
            ],
            vec!["j-1", "j-2"],
        ),
        (
            "not ahead of a higher priority",
            0,
            vec![(with("j-1", 1, urgent), 99.0), (spec("j-2", 1), 10.0)],
            vec!["j-1", "j-2"],
        ),
        (
            "a large task keeps the machine that it waits for",
            2,
            vec![(spec("j-1", 2), 99.0), (with("j-2", 1, large), 10.0)],
            vec![],
        ),
        (
            "a large task that has just come does not",
            2,
            vec![(spec("j-1", 2), 99.0), (with("j-2", 1, large), 98.0)],
            vec!["j-1", "j-1"],
        ),
    ];
    for (name, bound, jobs, expected) in cases {
        let mut scene = Scene::new(
            vec![worker("o-a", "a", false)],
            vec![spec("j-9", bound.max(1))],
        );
        for index in 0..bound {
            scene = scene.bind("o-a", "j-9", index, 50.0);
        }
        if bound == 0 {
            scene.jobs.remove("j-9");
        }
        for (spec, since) in jobs {
            scene.jobs.insert(Job::new(spec, 5, since));
        }
        let plan = scene.run();
        let got: Vec<&str> = plan.bindings.iter().map(|(t, _)| t.job.as_str()).collect();
        assert_eq!(got, expected, "{name}");
    }
}

/// Replicas that should start within a second: where their image is, or where work that makes way
/// runs beside it; else each on another machine, so that the image is on many.
#[test]
fn images() {
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
        let mut h = worker(name, "a", false);
        h.remember_image("img");
        h
    };
    type Case = (&'static str, Vec<Worker>, bool, Vec<&'static str>, usize);
    let cases: Vec<Case> = vec![
        (
            "where the image is",
            vec![worker("o-1", "a", false), with_image("o-2")],
            false,
            vec!["o-2", "o-2"],
            0,
        ),
        (
            "work makes way at the image",
            vec![worker("o-1", "a", false), with_image("o-2")],
            true,
            vec![],
            2,
        ),
        (
            "each on another machine where it must be fetched",
            vec![worker("o-1", "a", false), worker("o-2", "a", false)],
            false,
            vec!["o-1", "o-2"],
            0,
        ),
    ];
    for (name, workers, full, binds, halts) in cases {
        let mut scene = Scene::new(workers, vec![]);
        scene.jobs.insert(replicas(2));
        if full {
            scene.jobs.insert(Job::new(spec("j-9", 4), 5, 0.0));
            for index in 0..4 {
                scene = scene.bind("o-2", "j-9", index, 95.0);
            }
        }
        let plan = scene.run();
        let got: Vec<&str> = plan
            .bindings
            .iter()
            .map(|(_, worker)| worker.as_str())
            .collect();
        assert_eq!(got, binds, "{name}");
        assert_eq!(plan.preemptions.len(), halts, "{name}");
    }
}

/// With many machines a pass looks at a sample of them, and still places.
#[test]
fn samples() {
    let workers = (0..2000)
        .map(|i| worker(&format!("h-{i:05}"), "a", false))
        .collect();
    let jobs = (0..300)
        .map(|i| with(&format!("j-{i}"), 50, |s| s.team = "u".into()))
        .collect();
    let plan = Scene::new(workers, jobs).run();
    assert_eq!(plan.bindings.len(), 128, "bounded work in one pass");
}

#[test]
fn limits() {
    let quotas = Quotas::new(&[team("t", 4.0, 12.0), team("u", 0.0, 0.0)]);
    let cases = [
        (
            "unknown team",
            with("j-1", 1, |s| s.team = "x".into()),
            false,
        ),
        (
            "a task of an array",
            with("j-1", 100, |s| s.cpus = 12.0),
            true,
        ),
        ("a task too large", with("j-1", 1, |s| s.cpus = 12.5), false),
        (
            "all replicas together",
            with("j-1", 7, |s| s.kind = JobKind::Service),
            false,
        ),
        (
            "replicas that fit",
            with("j-1", 6, |s| s.kind = JobKind::Service),
            true,
        ),
        (
            "no limit",
            with("j-1", 9, |s| {
                s.team = "u".into();
                s.cpus = 1e6;
            }),
            true,
        ),
    ];
    for (name, spec, expected) in cases {
        assert_eq!(quotas.can_ever_run(&spec), expected, "{name}");
    }
}
