//! The order in which jobs are scheduled.

use super::cycle::CycleLimits;
use crate::bookkeeping::jobs::{Job, Jobs};
use crate::bookkeeping::quotas::Quotas;
use crate::protocol::job::{JobKind, PriorityClass};
use std::cmp::Ordering;
use std::collections::{HashMap, HashSet};

/// The sort key of a job in the queue. The fields are compared in their order, and of two truth values `false` comes
/// first. So jobs of a higher priority come first; at the same priority, jobs within their team's quota come before
/// jobs beyond it, starving jobs before others, jobs whose deadline has not passed before late ones, and then jobs with
/// earlier deadlines before those with later ones.
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
    /// Returns whether the job counts as starving: it is not crash-looping, and none of its tasks has been placed
    /// within `starvation_after_s` of its submission.
    pub(super) fn is_starving(&self) -> bool {
        !self.position.not_starving
    }
}

/// Returns the jobs that may start tasks now, in the order in which they are scheduled. Jobs that are backed off until
/// after `now` and gangs with bound tasks are left out. Jobs with equal sort keys are ordered by their ids.
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

/// Sum of the resources that all tasks of some jobs of a team request, whether the tasks wait, run or are completed.
#[derive(Default)]
struct TeamRequest {
    cpus: f64,
    gpus: f64,
}

/// Returns the ids of the jobs within quota: all tasks of the job, together with all tasks of the same team's
/// unfinished jobs that were submitted earlier, fit into the team's quota. A team whose quota is zero has no such
/// jobs.
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
