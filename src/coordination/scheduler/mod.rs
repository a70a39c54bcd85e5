//! Which waiting task goes where, and what must make room for it. Pure arithmetic on the tables.

mod preemption;

use crate::bookkeeping::failure_attribution::JobFailures;
use crate::bookkeeping::jobs::{Job, Jobs};
use crate::bookkeeping::quotas::Quotas;
use crate::bookkeeping::workers::{Resources, Worker, Workers};
use crate::protocol::cloud::InstanceType;
use crate::protocol::job::{JobKind, JobSpec, PriorityClass};
use crate::protocol::worker::TaskId;
use rand::Rng;
use rand::seq::index::sample;
use std::collections::{HashMap, HashSet};

/// Workers looked at for one job; where there are more, a random sample stands for all.
const SAMPLE_SIZE: usize = 64;
/// Tasks placed in one pass.
const MAX_BINDS: usize = 128;
/// Machines may fetch a third slower than their type says, and the start takes its time too.
const IMAGE_PULL_MARGIN: f64 = 1.5;
/// Tasks stopped in one pass.
const MAX_PREEMPTIONS: usize = 32;

/// Tasks of a job that found no room.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingDemand {
    /// Job id.
    pub job: String,
    /// How many.
    pub count: u32,
    /// For how long the oldest has waited.
    pub age_s: f64,
}

/// What a pass decided.
#[derive(Debug, Default, PartialEq)]
pub struct Assignments {
    /// Tasks and their workers.
    pub bindings: Vec<(TaskId, String)>,
    /// Bound tasks to be stopped for others: worker and task.
    pub preemptions: Vec<(String, TaskId)>,
    /// What found no room.
    pub pending_demand: Vec<PendingDemand>,
}

/// What a task takes.
pub fn resource_request(spec: &JobSpec) -> Resources {
    Resources {
        cpus: spec.cpus,
        gpus: spec.gpus,
        ram_gb: spec.ram_gb,
    }
}

struct WorkerCapacity<'a> {
    worker: &'a Worker,
    /// Number of its zone.
    zone: usize,
    total: Resources,
    /// GB of images that it fetches per second.
    image_pull_gb_per_s: f64,
    free: Resources,
    /// Room that tasks being stopped will give, minus what it is already meant for.
    releasing: Resources,
    /// Its tasks that might be stopped for others; worked out when first asked for.
    preemptible: Option<Vec<PreemptionCandidate<'a>>>,
}

/// A bound task that might be stopped for others.
struct PreemptionCandidate<'a> {
    task: &'a TaskId,
    priority: PriorityClass,
    is_service: bool,
    team: &'a str,
    request: Resources,
    /// Work that would be lost.
    work_lost: f64,
    preempted: bool,
}

/// A worker that a job's tasks may go to, with what does not change while they are placed.
struct ScoredWorker {
    capacity: usize,
    /// A task of the job has failed there.
    failed_before: bool,
    has_image: bool,
    /// It would have to fetch the image, which what must start soon can't wait for.
    slow_start: bool,
    /// On-demand, though the job may use spot machines.
    on_demand: bool,
}

/// A job that is being placed.
struct JobPlacement<'a> {
    spec: &'a JobSpec,
    failures: &'a JobFailures,
    request: Resources,
    /// Its tasks in each zone, by the zone's number.
    tasks_per_zone: Vec<u32>,
    /// Its tasks on each worker, by the slot's number, as far as placed in this pass.
    placed_per_worker: HashMap<usize, u32>,
}

impl JobPlacement<'_> {
    fn zone_allows(&self, zone: usize) -> bool {
        let here = self.tasks_per_zone.get(zone).copied().unwrap_or(0);
        if self.spec.one_zone && here == 0 && self.tasks_per_zone.iter().any(|count| *count > 0) {
            return false;
        }
        here < self.spec.zone_limit()
    }
}

/// Where other work may be stopped for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PreemptionScope {
    Nowhere,
    /// Only where its image is.
    WorkersWithImage,
    Anywhere,
}

/// One pass over the waiting tasks.
pub struct SchedulingCycle<'a> {
    jobs: &'a Jobs,
    quotas: Quotas,
    capacities: Vec<WorkerCapacity<'a>>,
    zones: Vec<&'a str>,
    assignments: Assignments,
    jobs_within_quota: HashSet<String>,
    /// Needs that found no free room on on-demand machines, or on any: room only shrinks in a pass.
    unsatisfiable: [Option<Resources>; 2],
    /// The lowest rank that has tasks bound.
    lowest_bound_priority: PriorityClass,
    limits: CycleLimits,
    now: f64,
}

/// Times that bound what a pass does for a job.
#[derive(Debug, Clone, Copy)]
pub struct CycleLimits {
    /// A job that has waited for so long without a start goes first among its equals.
    pub ageing_s: f64,
    /// For so long a job's tasks avoid a worker on which one of them has failed.
    pub avoid_s: f64,
}

/// Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs.
fn within_guarantee(jobs: &Jobs, quotas: &Quotas) -> HashSet<String> {
    let mut by_age: Vec<&Job> = jobs.iter().collect();
    by_age.sort_by(|a, b| {
        a.submitted_at
            .total_cmp(&b.submitted_at)
            .then_with(|| a.spec.id.cmp(&b.spec.id))
    });
    let mut sums: HashMap<&str, (f64, f64)> = HashMap::new();
    let mut within = HashSet::new();
    for job in by_age {
        let spec = &job.spec;
        let sum = sums.entry(&spec.team).or_default();
        sum.0 += spec.cpus * f64::from(spec.tasks);
        sum.1 += spec.gpus * f64::from(spec.tasks);
        if quotas.is_within_quota(&spec.team, sum.0, sum.1) {
            within.insert(spec.id.clone());
        }
    }
    within
}

impl<'a> SchedulingCycle<'a> {
    /// Prepares a pass.
    pub fn new(
        jobs: &'a Jobs,
        workers: &'a Workers,
        instance_types: &[InstanceType],
        quotas: &Quotas,
        limits: CycleLimits,
        now: f64,
    ) -> SchedulingCycle<'a> {
        let kinds: HashMap<&str, &InstanceType> = instance_types
            .iter()
            .map(|f| (f.name.as_str(), f))
            .collect();
        let mut zones: Vec<&str> = Vec::new();
        let capacities = workers
            .iter()
            .filter(|worker| worker.is_schedulable() && !worker.failures.is_cordoned())
            .filter_map(|worker| {
                let instance_type = kinds.get(worker.instance_type.as_str())?;
                let whole = Resources::from(*instance_type);
                Some(WorkerCapacity {
                    worker,
                    zone: number_of(&mut zones, &worker.zone),
                    total: whole,
                    image_pull_gb_per_s: instance_type.image_pull_gb_per_s,
                    free: whole - worker.allocated(),
                    releasing: worker.releasing(),
                    preemptible: None,
                })
            })
            .collect();
        let bound = jobs.iter().filter(|job| !job.bound_workers().is_empty());
        SchedulingCycle {
            jobs,
            quotas: quotas.clone(),
            capacities,
            zones,
            assignments: Assignments::default(),
            jobs_within_quota: within_guarantee(jobs, quotas),
            unsatisfiable: [None, None],
            lowest_bound_priority: bound
                .map(|job| job.spec.priority)
                .max()
                .unwrap_or(PriorityClass::Production),
            limits,
            now,
        }
    }

    /// Decides.
    pub fn run(mut self, rng: &mut impl Rng) -> Assignments {
        let now = self.now;
        let mut order: Vec<(QueuePosition, &Job)> = self
            .jobs
            .iter()
            .filter(|job| now >= job.eligible_at && job.startable_count() > 0)
            .filter(|job| job.spec.kind != JobKind::Gang || job.bound_workers().is_empty())
            .map(|job| (self.queue_position(job), job))
            .collect();
        order.sort_by(|(a, x), (b, y)| {
            (a.priority, a.beyond_quota, a.not_starving, a.late)
                .cmp(&(b.priority, b.beyond_quota, b.not_starving, b.late))
                .then(a.deadline.total_cmp(&b.deadline))
                .then(x.spec.id.cmp(&y.spec.id))
        });
        for (key, job) in order {
            self.schedule_job(job, !key.not_starving, rng);
        }
        self.assignments
    }

    fn queue_position(&self, job: &Job) -> QueuePosition {
        QueuePosition {
            priority: job.spec.priority,
            beyond_quota: !self.jobs_within_quota.contains(&job.spec.id),
            not_starving: job.has_started()
                || job.failures.is_crash_looping()
                || self.now - job.submitted_at < self.limits.ageing_s,
            late: job.deadline.is_some_and(|deadline| deadline < self.now),
            deadline: job.deadline.unwrap_or(job.submitted_at),
        }
    }

    fn schedule_job(&mut self, job: &'a Job, starving: bool, rng: &mut impl Rng) {
        let spec = &job.spec;
        let waiting = job.startable_count();
        let mut placement = JobPlacement {
            spec,
            failures: &job.failures,
            request: resource_request(spec),
            tasks_per_zone: vec![0; self.zones.len()],
            placed_per_worker: HashMap::new(),
        };
        for (zone, count) in job.bound_per_zone() {
            let number = number_of(&mut self.zones, zone);
            placement.tasks_per_zone.resize(self.zones.len(), 0);
            placement.tasks_per_zone[number] = *count;
        }
        // The tasks of a gang start together or not at all; what has been tried is taken back, and
        // only what is beyond the room there was counts as missing.
        let together = spec.kind == JobKind::Gang;
        let before = together.then(|| (self.assignments.bindings.len(), self.quotas.clone()));
        let (placed, barred, limited) = self.reserve_tasks(job, &mut placement, rng);
        if let Some((first, quotas)) = before
            && placed < waiting
        {
            for (_, name) in self.assignments.bindings.drain(first..) {
                if let Some(capacity) = self.capacities.iter_mut().find(|s| s.worker.name == name) {
                    capacity.free += placement.request;
                }
            }
            self.quotas = quotas;
            placement.tasks_per_zone.fill(0);
        }
        if limited {
            // More room would not help: the team's limit holds them back.
            return;
        }
        let mut missing = waiting - placed - barred;
        let fits = |quotas: &Quotas| quotas.has_capacity(&spec.team, spec.cpus, spec.gpus);
        let stops = if self.now >= job.latest_unhurried_start && !job.failures.is_crash_looping() {
            PreemptionScope::Anywhere
        } else {
            PreemptionScope::Nowhere
        };
        while missing > 0 && fits(&self.quotas) && self.make_room(&placement, stops, rng) {
            self.quotas.charge(&spec.team, spec.cpus, spec.gpus);
            missing -= 1;
        }
        if starving && missing > 0 && placed == 0 {
            self.reserve_freest_worker(&placement);
        }
        let missing = (missing + barred).min(
            self.quotas
                .remaining_tasks(&spec.team, spec.cpus, spec.gpus),
        );
        if missing > 0 {
            self.assignments.pending_demand.push(PendingDemand {
                job: spec.id.clone(),
                count: missing,
                age_s: self.now - job.waiting_since,
            });
        }
    }

    /// Places what has room. Returns how many were placed, how many found only machines that still
    /// show them from an attempt that may come back, and whether the team's limit ended it.
    fn reserve_tasks(
        &mut self,
        job: &Job,
        placement: &mut JobPlacement,
        rng: &mut impl Rng,
    ) -> (u32, u32, bool) {
        let spec = placement.spec;
        let (mut placed, mut barred, mut expected) = (0, 0, 0);
        // Worth stopping others for: a start within the time that is asked for.
        let prompt = spec.kind == JobKind::Service
            && !job.failures.is_crash_looping()
            && job
                .start_objective_s
                .is_some_and(|s| self.now - job.waiting_since < s / 2.0);
        let mut candidates = self.score_workers(placement, rng);
        if spec.one_zone && placement.tasks_per_zone.iter().all(|count| *count == 0) {
            self.choose_zone(&mut candidates, &placement.request);
        }
        let startable = job.startable_count() as usize;
        for index in job.waiting_tasks().take(MAX_BINDS.min(startable)) {
            if self.assignments.bindings.len() >= MAX_BINDS {
                break;
            }
            if !self.quotas.has_capacity(&spec.team, spec.cpus, spec.gpus) {
                return (placed + expected, barred, true);
            }
            let task = TaskId {
                job: spec.id.clone(),
                index,
            };
            let mut found = self.best_worker(&candidates, placement, &task);
            if found.is_none() && candidates.len() >= SAMPLE_SIZE {
                // The sample is used up; the rest may still have room.
                candidates = self.score_workers(placement, rng);
                found = self.best_worker(&candidates, placement, &task);
            }
            if prompt
                && found.is_none_or(|c| candidates[c].slow_start)
                && self.make_room(placement, PreemptionScope::WorkersWithImage, rng)
            {
                // Room at the image is free sooner than the image would be fetched elsewhere.
                self.quotas.charge(&spec.team, spec.cpus, spec.gpus);
                expected += 1;
                continue;
            }
            let Some(found) = found else {
                let shown = |c: &ScoredWorker| {
                    self.capacities[c.capacity]
                        .worker
                        .observed_tasks
                        .contains_key(&task)
                };
                if candidates.iter().any(shown) {
                    barred += 1;
                    continue;
                }
                break;
            };
            let capacity = candidates[found].capacity;
            let chosen = &mut self.capacities[capacity];
            chosen.free -= placement.request;
            placement.tasks_per_zone[chosen.zone] += 1;
            *placement.placed_per_worker.entry(capacity).or_default() += 1;
            self.quotas.charge(&spec.team, spec.cpus, spec.gpus);
            self.assignments
                .bindings
                .push((task, chosen.worker.name.clone()));
            placed += 1;
        }
        (placed + expected, barred, false)
    }

    /// Whether the job's tasks may go to a worker at all.
    fn filter_worker(&self, placement: &JobPlacement, capacity: &WorkerCapacity) -> bool {
        let worker = capacity.worker;
        let avoids = placement
            .failures
            .avoids(&worker.name, self.limits.avoid_s, self.now);
        !avoids
            && placement
                .spec
                .allows(&worker.instance_type, &worker.zone, worker.spot)
            && placement.zone_allows(capacity.zone)
    }

    /// Workers with room for a task of the job; where there are many, a random sample.
    fn score_workers(&mut self, placement: &JobPlacement, rng: &mut impl Rng) -> Vec<ScoredWorker> {
        let spec = placement.spec;
        let need = &placement.request;
        let kind = usize::from(spec.spot);
        let prompt_s = self
            .jobs
            .get(&spec.id)
            .and_then(|job| job.start_objective_s);
        if self.unsatisfiable[kind].is_some_and(|known| need.fits(&known)) {
            return Vec::new();
        }
        let mut all: Vec<usize> = (0..self.capacities.len())
            .filter(|i| {
                self.capacities[*i].free.fits(need)
                    && self.filter_worker(placement, &self.capacities[*i])
            })
            .collect();
        let anywhere = spec.instance_types.is_none() && spec.zone.is_none();
        if all.is_empty() && anywhere && !spec.one_zone && !spec.spread {
            self.unsatisfiable[kind] = Some(*need);
        }
        if all.len() > SAMPLE_SIZE {
            all = sample(rng, all.len(), SAMPLE_SIZE)
                .iter()
                .map(|i| all[i])
                .collect();
        }
        all.into_iter()
            .map(|capacity| {
                let worker = self.capacities[capacity].worker;
                let image = worker.cached_images.contains(&spec.image);
                let fetch_s = IMAGE_PULL_MARGIN * spec.image_gb
                    / self.capacities[capacity].image_pull_gb_per_s.max(1e-6);
                let waits = prompt_s.is_some_and(|prompt_s| fetch_s < prompt_s);
                ScoredWorker {
                    capacity,
                    failed_before: placement.failures.has_failed_on(&worker.name),
                    has_image: image,
                    slow_start: spec.priority <= PriorityClass::Urgent && !image && !waits,
                    on_demand: spec.spot && !worker.spot,
                }
            })
            .collect()
    }

    /// For a job that must stay in one zone and has no task anywhere: the zone with most room.
    fn choose_zone(&self, candidates: &mut Vec<ScoredWorker>, need: &Resources) {
        let mut room = vec![0; self.zones.len()];
        for candidate in candidates.iter() {
            let capacity = &self.capacities[candidate.capacity];
            room[capacity.zone] += capacity.free.count_fitting(need);
        }
        let most = (0..room.len()).max_by_key(|zone| room[*zone]);
        candidates.retain(|c| Some(self.capacities[c.capacity].zone) == most);
    }

    /// The candidate that a task goes to: for jobs that may use spot machines those first; fewer
    /// replicas in the zone; the image at hand; then the fullest. Replicas that must fetch their
    /// image do so each on another worker, so that later ones find it on many.
    fn best_worker(
        &self,
        candidates: &[ScoredWorker],
        placement: &JobPlacement,
        task: &TaskId,
    ) -> Option<usize> {
        let spec = placement.spec;
        candidates
            .iter()
            .enumerate()
            .filter(|(_, c)| {
                let capacity = &self.capacities[c.capacity];
                capacity.free.fits(&placement.request)
                    && placement.zone_allows(capacity.zone)
                    && !capacity.worker.observed_tasks.contains_key(task)
            })
            .min_by(|(_, a), (_, b)| {
                let key = |c: &ScoredWorker| {
                    let capacity = &self.capacities[c.capacity];
                    let replicas = if spec.spread {
                        placement.tasks_per_zone[capacity.zone]
                    } else {
                        0
                    };
                    let left = capacity.free - placement.request;
                    let left = left.dominant_share(&capacity.total);
                    let mates = match placement.placed_per_worker.get(&c.capacity) {
                        Some(count) if !c.has_image && spec.kind == JobKind::Service => *count,
                        _ => 0,
                    };
                    (
                        (
                            c.failed_before,
                            c.slow_start,
                            c.on_demand,
                            replicas,
                            !c.has_image,
                            mates,
                        ),
                        left,
                    )
                };
                let (a, b) = (key(a), key(b));
                a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
            })
            .map(|(number, _)| number)
    }

    /// Keeps the freest worker for a job that has waited for long, so that small tasks of others don't
    /// fill every gap before a large one fits.
    fn reserve_freest_worker(&mut self, placement: &JobPlacement) {
        let freest = (0..self.capacities.len())
            .filter(|i| {
                let capacity = &self.capacities[*i];
                capacity.total.fits(&placement.request) && self.filter_worker(placement, capacity)
            })
            .max_by(|a, b| {
                let free = |i: usize| {
                    let capacity = &self.capacities[i];
                    (capacity.free + capacity.releasing).dominant_share(&capacity.total)
                };
                free(*a).total_cmp(&free(*b)).then(b.cmp(a))
            });
        if let Some(i) = freest {
            let capacity = &mut self.capacities[i];
            capacity.free -= placement.request;
        }
    }
}

/// The number of a zone.
fn number_of<'a>(zones: &mut Vec<&'a str>, zone: &'a str) -> usize {
    match zones.iter().position(|known| *known == zone) {
        Some(number) => number,
        None => {
            zones.push(zone);
            zones.len() - 1
        }
    }
}

/// The order in which jobs get room: priority, then within the guarantee, then those that have
/// waited for long without a start, then those that can still be on time, the earliest deadline
/// first.
struct QueuePosition {
    priority: PriorityClass,
    beyond_quota: bool,
    not_starving: bool,
    late: bool,
    deadline: f64,
}
