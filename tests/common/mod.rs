//! Builders of jobs, workers and other records with default values, for tests.
#![allow(dead_code)]

use cedarladder::bookkeeping::jobs::Job;
use cedarladder::bookkeeping::permits::{FreshnessLimits, ViewFreshness};
use cedarladder::bookkeeping::workers::{Binding, Resources, Worker};
use cedarladder::protocol::cloud::InstanceType;
use cedarladder::protocol::job::{JobKind, JobSpec, PriorityClass};
use cedarladder::protocol::worker::{ExitReason, TaskId, TaskState, TaskStatus};
use cedarladder::settings::Team;

/// An array job of team `t`, with normal priority, two CPUs for each task, and spot instances allowed.
pub fn spec(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        id: id.to_owned(),
        class: "c".into(),
        team: "t".into(),
        kind: JobKind::Array,
        priority: PriorityClass::Normal,
        tasks,
        cpus: 2.0,
        gpus: 0.0,
        ram_gb: 1.0,
        instance_types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: "img".into(),
        image_gb: 0.5,
        expected_runtime_s: 10.0,
        checkpoint_interval_s: 0.0,
        checkpoint_grace_s: 0.0,
        deadline_s: None,
        submitted_at: 0.0,
    }
}

/// A job that was submitted at time 0, with 5 as the mod revision of its record.
pub fn job(spec: JobSpec) -> Job {
    Job::new(spec, 5, 0.0)
}

/// An instance type with eight CPUs in the zones `a` and `b`.
pub fn instance_type(name: &str) -> InstanceType {
    InstanceType {
        name: name.into(),
        cpus: 8.0,
        gpus: 0.0,
        ram_gb: 32.0,
        image_cache_gb: 50.0,
        image_pull_gb_per_s: 1.0,
        on_demand_price: 1.0,
        spot_price: Some(0.25),
        boot_time_s: 25.0,
        zones: vec!["a".into(), "b".into()],
    }
}

/// How recently the lease and the view of the open jobs were confirmed, for a leader that has just confirmed both.
pub fn freshness() -> ViewFreshness {
    ViewFreshness {
        is_leader: true,
        lease_held: true,
        lease_age_s: 0.1,
        view_age_s: 0.1,
        state_failure_age_s: f64::INFINITY,
        limits: FreshnessLimits {
            lease_grace_s: 10.0,
            max_start_view_age_s: 4.0,
        },
    }
}

/// Like [`freshness`], for a leader that has confirmed neither its lease nor its view of the open jobs for `age_s`
/// seconds and may no longer hold the lease.
pub fn freshness_of_age(age_s: f64) -> ViewFreshness {
    ViewFreshness {
        lease_held: false,
        lease_age_s: age_s,
        view_age_s: age_s,
        ..freshness()
    }
}

/// A worker in its first incarnation that has sent a heartbeat, and may be assigned tasks.
pub fn worker(name: &str, zone: &str, spot: bool) -> Worker {
    let mut worker = Worker::new(name, "f", zone, spot, 0.0);
    worker.token_acknowledged = true;
    worker.last_heartbeat_at = Some(0.0);
    worker.incarnation = 1;
    worker
}

/// A durable binding of a task that has been running since time 0 in the worker's first incarnation.
pub fn binding(spec: &JobSpec, attempt: u64) -> Binding {
    Binding {
        attempt,
        incarnation: 1,
        request: Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            ram_gb: spec.ram_gb,
        },
        team: spec.team.clone(),
        durable: true,
        inherited: false,
        unbinding: false,
        eviction: None,
        running_since: Some(0.0),
    }
}

pub fn task(job: &str, index: u32) -> TaskId {
    TaskId {
        job: job.into(),
        index,
    }
}

pub fn task_status(
    task: &TaskId,
    attempt: u64,
    state: TaskState,
    exit_reason: Option<ExitReason>,
) -> TaskStatus {
    TaskStatus {
        task: task.to_string(),
        attempt,
        state,
        exit_reason,
    }
}

/// A team with a quota of `cpus` and a limit of `cpus_max` CPUs. A limit of 0 stands for no limit.
pub fn team(name: &str, cpus: f64, cpus_max: f64) -> Team {
    Team {
        name: name.into(),
        cpus,
        cpus_max,
        gpus: 0.0,
        gpus_max: 0.0,
    }
}
