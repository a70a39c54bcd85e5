//! Filtering and scoring: which workers a job's tasks may run on, and which of them is best.

use super::capacity::WorkerCapacity;
use super::cycle::SchedulingCycle;
use super::placement::JobPlacement;
use crate::bookkeeping::workers::Resources;
use crate::protocol::job::{JobKind, PriorityClass};
use crate::protocol::worker::TaskId;
use rand::Rng;
use rand::seq::index::sample;
use std::cmp::Ordering;

/// Maximum number of workers that are scored, or searched for tasks to preempt, at a time. Of more workers, a random
/// sample of this size is taken.
pub(super) const SAMPLE_SIZE: usize = 64;
/// Factor on the nominal time of an image pull: workers may pull a third slower than their instance
/// type says, and the start of the task takes time too.
const IMAGE_PULL_MARGIN: f64 = 1.5;
/// Lower bound on the image pull rate in computations, in GB per second; avoids a division by zero.
const MIN_IMAGE_PULL_GB_PER_S: f64 = 1e-6;

/// A worker that has passed the filter, with the parts of its score that stay the same while the
/// job's tasks are placed.
#[derive(Debug, Clone, Copy)]
pub(super) struct ScoredWorker {
    /// Index of the worker in the cycle's capacities.
    pub(super) index: usize,
    /// A task of the job has failed on this worker since the job's last success.
    failed_before: bool,
    has_image: bool,
    /// The worker does not have the job's image, the job's priority is urgent or production, and the job has no
    /// start objective that is longer than the estimated image pull.
    pub(super) slow_start: bool,
    /// The worker is an on-demand instance, although the job may use spot instances.
    on_demand: bool,
}

/// The score of a worker for one more task of a job. The lower score is better; fields are compared in
/// this order.
struct Score {
    failed_before: bool,
    slow_start: bool,
    on_demand: bool,
    /// Number of the job's tasks in the worker's zone if the job is to be spread over zones, else 0.
    tasks_in_zone: u32,
    lacks_image: bool,
    /// Number of replicas placed on the worker in this cycle that have to pull the image. Replicas are spread over
    /// workers without the image, so that many workers have it for later replicas.
    replicas_pulling: u32,
    /// Share of the worker's resources that would stay free, for the resource with the largest such share. The
    /// worker that would be fullest is best.
    free_share: f64,
}

impl Score {
    fn compare(&self, other: &Score) -> Ordering {
        let discrete = |score: &Score| {
            (
                score.failed_before,
                score.slow_start,
                score.on_demand,
                score.tasks_in_zone,
                score.lacks_image,
                score.replicas_pulling,
            )
        };
        discrete(self)
            .cmp(&discrete(other))
            .then(self.free_share.total_cmp(&other.free_share))
    }
}

/// Requests of jobs without constraints on instance types or zones for which no worker was feasible. The cycle assumes
/// that free capacity does not grow, so it does not search again for requests that are at least as large.
#[derive(Debug, Default)]
pub(super) struct UnsatisfiableRequests {
    /// The latest unsatisfied request of a job that may use on-demand instances only.
    on_demand: Option<Resources>,
    /// The latest unsatisfied request of a job that may use both spot and on-demand instances.
    any: Option<Resources>,
}

impl UnsatisfiableRequests {
    fn includes(&self, request: &Resources, may_use_spot: bool) -> bool {
        let unsatisfiable = if may_use_spot {
            self.any
        } else {
            self.on_demand
        };
        unsatisfiable.is_some_and(|unsatisfiable| request.fits(&unsatisfiable))
    }

    fn record(&mut self, request: Resources, may_use_spot: bool) {
        if may_use_spot {
            self.any = Some(request);
        } else {
            self.on_demand = Some(request);
        }
    }
}

impl SchedulingCycle<'_> {
    /// Returns whether a worker passes the job's filter: the job does not avoid the worker because of a failure, and
    /// the job's constraints on instance types, zones and spot instances allow the worker. Its capacity is not
    /// considered.
    pub(super) fn filter_worker(
        &self,
        placement: &JobPlacement,
        capacity: &WorkerCapacity,
    ) -> bool {
        let worker = capacity.worker;
        let avoided = placement.job.failures.avoids(
            &worker.name,
            self.limits.avoid_failed_worker_s,
            self.now,
        );
        !avoided
            && placement
                .spec()
                .allows(&worker.instance_type, &worker.zone, worker.spot)
            && placement.zone_allows(capacity.zone)
    }

    /// Returns the feasible workers for a task of the job, with the parts of their scores that stay the same while the
    /// job's tasks are placed. Of more than [`SAMPLE_SIZE`] feasible workers, a random sample of this size is returned.
    pub(super) fn score_workers(
        &mut self,
        placement: &JobPlacement,
        rng: &mut impl Rng,
    ) -> Vec<ScoredWorker> {
        let mut feasible = self.feasible_workers(placement);
        if feasible.len() > SAMPLE_SIZE {
            feasible = sample(rng, feasible.len(), SAMPLE_SIZE)
                .iter()
                .map(|position| feasible[position])
                .collect();
        }
        feasible
            .into_iter()
            .map(|index| self.score_worker(index, placement))
            .collect()
    }

    /// Returns the indices of the feasible workers: those that pass the job's filter and have free capacity for one
    /// of its tasks. If the request is at least as large as one recorded in `unsatisfiable`, the list is empty
    /// without a search.
    fn feasible_workers(&mut self, placement: &JobPlacement) -> Vec<usize> {
        let spec = placement.spec();
        let request = &placement.request;
        if self.unsatisfiable.includes(request, spec.spot) {
            return Vec::new();
        }
        let feasible: Vec<usize> = (0..self.capacities.len())
            .filter(|index| {
                let capacity = &self.capacities[*index];
                capacity.free.fits(request) && self.filter_worker(placement, capacity)
            })
            .collect();
        let unconstrained =
            spec.instance_types.is_none() && spec.zone.is_none() && !spec.one_zone && !spec.spread;
        if feasible.is_empty() && unconstrained {
            self.unsatisfiable.record(*request, spec.spot);
        }
        feasible
    }

    fn score_worker(&self, index: usize, placement: &JobPlacement) -> ScoredWorker {
        let spec = placement.spec();
        let capacity = &self.capacities[index];
        let worker = capacity.worker;
        let has_image = capacity.has_image(&spec.image);
        let pull_s = IMAGE_PULL_MARGIN * spec.image_gb
            / capacity.image_pull_gb_per_s.max(MIN_IMAGE_PULL_GB_PER_S);
        let pulled_in_time = placement
            .job
            .start_objective_s
            .is_some_and(|objective_s| pull_s < objective_s);
        ScoredWorker {
            index,
            failed_before: placement.job.failures.has_failed_on(&worker.name),
            has_image,
            slow_start: spec.priority <= PriorityClass::Urgent && !has_image && !pulled_in_time,
            on_demand: spec.spot && !worker.spot,
        }
    }

    /// Keeps only the candidates in the zone where the most tasks fit on the candidates. Used for a job whose tasks
    /// must all run in one zone, while none of them is bound or placed yet.
    pub(super) fn retain_largest_zone(
        &self,
        candidates: &mut Vec<ScoredWorker>,
        request: &Resources,
    ) {
        let mut fitting_tasks = vec![0; self.zones.len()];
        for candidate in candidates.iter() {
            let capacity = &self.capacities[candidate.index];
            fitting_tasks[capacity.zone] += capacity.free.count_fitting(request);
        }
        let largest = (0..fitting_tasks.len()).max_by_key(|zone| fitting_tasks[*zone]);
        candidates.retain(|candidate| Some(self.capacities[candidate.index].zone) == largest);
    }

    /// Returns the candidate with the best score for a task, or `None` if no candidate can take the task. Candidates
    /// without enough free capacity, in a zone that allows no further task of the job, or that still report an earlier
    /// attempt of the task can't take it.
    pub(super) fn best_worker(
        &self,
        candidates: &[ScoredWorker],
        placement: &JobPlacement,
        task: &TaskId,
    ) -> Option<ScoredWorker> {
        candidates
            .iter()
            .filter(|candidate| {
                let capacity = &self.capacities[candidate.index];
                capacity.free.fits(&placement.request)
                    && placement.zone_allows(capacity.zone)
                    && !capacity.worker.observed_tasks.contains_key(task)
            })
            .min_by(|a, b| {
                let a = self.score(a, placement);
                a.compare(&self.score(b, placement))
            })
            .copied()
    }

    fn score(&self, candidate: &ScoredWorker, placement: &JobPlacement) -> Score {
        let spec = placement.spec();
        let capacity = &self.capacities[candidate.index];
        let tasks_in_zone = if spec.spread {
            placement.tasks_in_zone(capacity.zone)
        } else {
            0
        };
        let replicas_pulling = if !candidate.has_image && spec.kind == JobKind::Service {
            placement.placed_on(candidate.index)
        } else {
            0
        };
        let remaining = capacity.free - placement.request;
        Score {
            failed_before: candidate.failed_before,
            slow_start: candidate.slow_start,
            on_demand: candidate.on_demand,
            tasks_in_zone,
            lacks_image: !candidate.has_image,
            replicas_pulling,
            free_share: remaining.dominant_share(&capacity.total),
        }
    }
}
