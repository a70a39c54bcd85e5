//! The order in which jobs are scheduled.

use super::cycle::CycleLimits;
use crate::bookkeeping::jobs::{Job, Jobs};
use crate::bookkeeping::quotas::Quotas;
use crate::protocol::job::{JobKind, PriorityClass};
use std::cmp::Ordering;
use std::collections::{HashMap, HashSet};

/// The sort key of a job in the queue. Jobs are ordered by priority; among equals, jobs within their team's
/// quota come first, then starving jobs, then jobs whose deadline has not passed, then the earliest deadline.
struct QueuePosition {
    priority: PriorityClass,
    beyond_quota: bool,
    not_starving: bool,
    late: bool,
    /// The job's deadline or, if it has none, the time of its submission, in seconds.
    deadline: f64,
}

impl QueuePosition {
    fn new(
        job: &Job,
        jobs_within_quota: &HashSet<String>,
        limits: CycleLimits,
        now: f64,
    ) -> QueuePosition {
        QueuePosition {
            priority: job.spec.priority,
            beyond_quota: !jobs_within_quota.contains(&job.spec.id),
            not_starving: job.has_started()
                || job.failures.is_crash_looping()
                || now - job.submitted_at < limits.starvation_after_s,
            late: job.deadline.is_some_and(|deadline| deadline < now),
            deadline: job.deadline.unwrap_or(job.submitted_at),
        }
    }

    fn compare(&self, other: &QueuePosition) -> Ordering {
        let class = |position: &QueuePosition| {
            (
                position.priority,
                position.beyond_quota,
                position.not_starving,
                position.late,
            )
        };
        class(self)
            .cmp(&class(other))
            .then(self.deadline.total_cmp(&other.deadline))
    }
}

/// A job in the queue, with its sort key.
pub(super) struct QueuedJob<'a> {
    pub(super) job: &'a Job,
    position: QueuePosition,
}

impl QueuedJob<'_> {
    /// Returns whether the job has waited without starting a task for at least `starvation_after_s`.
    pub(super) fn is_starving(&self) -> bool {
        !self.position.not_starving
    }
}

/// Returns the jobs with tasks to start, in the order in which they are scheduled. Gangs with bound tasks are left out.
pub(super) fn scheduling_queue<'a>(
    jobs: &'a Jobs,
    jobs_within_quota: &HashSet<String>,
    limits: CycleLimits,
    now: f64,
) -> Vec<QueuedJob<'a>> {
    let mut queue: Vec<QueuedJob> = jobs
        .iter()
        .filter(|job| now >= job.eligible_at && job.startable_count() > 0)
        .filter(|job| job.spec.kind != JobKind::Gang || job.bound_workers().is_empty())
        .map(|job| QueuedJob {
            job,
            position: QueuePosition::new(job, jobs_within_quota, limits, now),
        })
        .collect();
    queue.sort_by(|a, b| {
        a.position
            .compare(&b.position)
            .then(a.job.spec.id.cmp(&b.job.spec.id))
    });
    queue
}

/// Sum of the resources that all tasks of a team's jobs request, over the jobs added so far.
#[derive(Default)]
struct TeamRequest {
    cpus: f64,
    gpus: f64,
}

/// Returns the ids of the jobs of which all tasks fit into the team's quota, together with all tasks of the
/// team's unfinished jobs that were submitted earlier.
pub(super) fn jobs_within_quota(jobs: &Jobs, quotas: &Quotas) -> HashSet<String> {
    let mut by_age: Vec<&Job> = jobs.iter().collect();
    by_age.sort_by(|a, b| {
        a.submitted_at
            .total_cmp(&b.submitted_at)
            .then_with(|| a.spec.id.cmp(&b.spec.id))
    });
    let mut requests: HashMap<&str, TeamRequest> = HashMap::new();
    let mut within_quota = HashSet::new();
    for job in by_age {
        let spec = &job.spec;
        let request = requests.entry(&spec.team).or_default();
        request.cpus += spec.cpus * f64::from(spec.tasks);
        request.gpus += spec.gpus * f64::from(spec.tasks);
        if quotas.is_within_quota(&spec.team, request.cpus, request.gpus) {
            within_quota.insert(spec.id.clone());
        }
    }
    within_quota
}
