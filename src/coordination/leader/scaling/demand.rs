//! Demand: fits the waiting tasks onto instances, by bin packing.

use super::pool::PoolOffer;
use crate::bookkeeping::jobs::Job;
use crate::bookkeeping::workers::Resources;
use crate::coordination::leader::{Leader, RUNTIME_ESTIMATE_MARGIN};
use crate::coordination::scheduler::{self, PendingDemand};
use crate::protocol::job::{JobSpec, PriorityClass};
use std::collections::HashMap;

/// Margin on the time until a waiting task gets capacity on workers that are in use.
const TURN_MARGIN: f64 = 1.2;
/// How much less certain that time is with a single running task.
const TURN_UNCERTAINTY: f64 = 4.0;
/// Waiting tasks that are fitted one by one, several times what a thousand instances run; it bounds
/// the work of a round, and the rest waits for the next.
const MAX_FITTED: u32 = 50_000;
/// Least rate of freed CPUs that is divided by.
const MIN_CPUS_FREED_PER_S: f64 = 1e-6;

/// Waiting tasks that a pool is to take.
#[derive(Debug, Default, Clone)]
pub(super) struct Demand {
    /// The priority of the most urgent.
    pub(super) priority: Option<PriorityClass>,
    /// Number of tasks.
    pub(super) pending: u32,
    /// Seconds for which the oldest has waited.
    pub(super) oldest_s: f64,
    /// Sum of their expected run times in seconds.
    pub(super) expected_runtime_s: f64,
    /// Sum of the shares of an instance that they request.
    pub(super) machine_share: f64,
}

impl Demand {
    fn add(&mut self, spec: &JobSpec, age_s: f64, machine_share: f64) {
        let most_urgent = self
            .priority
            .map_or(spec.priority, |p| p.min(spec.priority));
        self.priority = Some(most_urgent);
        self.pending += 1;
        self.oldest_s = self.oldest_s.max(age_s);
        self.expected_runtime_s += spec.expected_runtime_s;
        self.machine_share += machine_share;
    }
}

/// An instance that is coming or would be created, with the capacity left on it.
struct Bin {
    /// Index of its pool among the offers.
    pool: usize,
    free: Resources,
    used: bool,
}

impl Bin {
    fn new(pool: usize, offer: &PoolOffer) -> Bin {
        Bin {
            pool,
            free: offer.resources(),
            used: false,
        }
    }
}

/// The waiting tasks fitted onto instances that are coming or would be created.
pub(super) struct DemandFit {
    /// The demand on each pool.
    pub(super) demand: Vec<Demand>,
    bins: Vec<Bin>,
}

impl DemandFit {
    /// Instances of a pool that the waiting tasks would fill.
    pub(super) fn machines_to_fill(&self, pool: usize) -> u32 {
        self.count_bins(pool, true)
    }

    /// Instances of a pool that are coming and that no waiting task needs.
    pub(super) fn unused_bins(&self, pool: usize) -> u32 {
        self.count_bins(pool, false)
    }

    fn count_bins(&self, pool: usize, used: bool) -> u32 {
        let bins = self.bins.iter();
        bins.filter(|bin| bin.pool == pool && bin.used == used)
            .count() as u32
    }

    /// A bin for one more task: one that is there, from `first` on, or a new one from the best offer.
    fn find_bin(
        &mut self,
        offers: &mut [PoolOffer],
        first: usize,
        request: &BinRequest,
    ) -> Option<usize> {
        let existing =
            self.bins.iter().skip(first).position(|bin| {
                bin.free.fits(&request.resources) && request.allows(&offers[bin.pool])
            });
        if let Some(i) = existing {
            return Some(first + i);
        }
        let pool = request.best_offer(offers)?;
        self.bins.push(Bin::new(pool, &offers[pool]));
        offers[pool].remaining -= 1;
        Some(self.bins.len() - 1)
    }
}

/// What a job's tasks need of a bin.
struct BinRequest<'a> {
    job: &'a Job,
    resources: Resources,
    /// The job's tasks in each zone, with those fitted so far.
    tasks_per_zone: HashMap<String, u32>,
    /// Estimated run time of a task in seconds, with its margin.
    task_s: f64,
    now: f64,
}

impl BinRequest<'_> {
    /// Tasks that may use spot instances wait for these as long as they can still be on time with an
    /// on-demand instance created later.
    fn waits_for_spot(&self, offer: &PoolOffer) -> bool {
        let boot_time_s = offer.instance_type.boot_time_s;
        self.job.spec.spot
            && self
                .job
                .deadline
                .is_some_and(|deadline| self.now + boot_time_s + self.task_s < deadline)
    }

    fn tasks_in_zone(&self, zone: &str) -> u32 {
        self.tasks_per_zone.get(zone).copied().unwrap_or(0)
    }

    /// Whether the job's tasks may run on instances of a pool.
    fn allows(&self, offer: &PoolOffer) -> bool {
        let spec = &self.job.spec;
        let zone = &offer.key.zone;
        let zones = &self.tasks_per_zone;
        let other_zone = spec.one_zone && !zones.is_empty() && !zones.contains_key(zone);
        spec.allows(&offer.key.instance_type, zone, offer.key.spot)
            && (offer.key.spot || !self.waits_for_spot(offer))
            && !other_zone
            && self.tasks_in_zone(zone) < spec.zone_limit()
    }

    /// The offer for a new instance: the zone with the fewest replicas if they are to be spread, then
    /// the lowest price for each task.
    fn best_offer(&self, offers: &[PoolOffer]) -> Option<usize> {
        let replicas = |offer: &PoolOffer| {
            if self.job.spec.spread {
                self.tasks_in_zone(&offer.key.zone)
            } else {
                0
            }
        };
        let price_per_task = |offer: &PoolOffer| {
            let fitting = offer.resources().count_fitting(&self.resources);
            offer.price / f64::from(fitting.max(1))
        };
        offers
            .iter()
            .enumerate()
            .filter(|(_, offer)| {
                !offer.blocked
                    && offer.remaining > 0
                    && self.allows(offer)
                    && offer.resources().fits(&self.resources)
            })
            .min_by(|(_, a), (_, b)| {
                replicas(a)
                    .cmp(&replicas(b))
                    .then(price_per_task(a).total_cmp(&price_per_task(b)))
            })
            .map(|(pool, _)| pool)
    }
}

/// Capacity that running tasks release, and the waiting tasks ahead for it.
struct ReleaseForecast {
    /// CPUs released each second.
    cpus_freed_per_s: f64,
    /// Factor on the time until a task has its turn.
    margin: f64,
    /// The quickest boot of all pools.
    quickest_boot_s: f64,
    /// CPUs that the tasks fitted so far request.
    cpus_ahead: f64,
}

impl ReleaseForecast {
    /// Whether the next task needs no new instance: it will have its turn in time on the workers that
    /// are there, or sooner than a new instance is up.
    fn serves(&self, request: &BinRequest) -> bool {
        let job = request.job;
        let turn_s =
            self.margin * self.cpus_ahead / self.cpus_freed_per_s.max(MIN_CPUS_FREED_PER_S);
        let on_time = job
            .deadline
            .is_some_and(|deadline| request.now + turn_s + request.task_s <= deadline);
        let before_boot = turn_s <= self.quickest_boot_s;
        self.cpus_freed_per_s > 0.0 && !job.is_service() && (on_time || before_boot)
    }
}

impl Leader {
    /// Fits the waiting tasks onto instances that are coming, then onto instances yet to be created.
    pub(super) fn fit_demand(&self, offers: &mut [PoolOffer], now: f64) -> DemandFit {
        let mut fit = DemandFit {
            demand: vec![Demand::default(); offers.len()],
            bins: self.provisioning_bins(offers, now),
        };
        let mut forecast = self.release_forecast(offers);
        let mut remaining = MAX_FITTED;
        for pending in &self.scheduling.pending_demand {
            if let Some(job) = self.jobs.get(&pending.job) {
                let request = self.bin_request(job, now);
                let limit = pending.count.min(remaining);
                remaining -= fit_job(request, pending, limit, &mut forecast, offers, &mut fit);
            }
        }
        if remaining == 0 {
            tracing::info!(fitted = MAX_FITTED, "demand truncated for this round");
        }
        fit
    }

    /// Instances that are booting, within the usual time, or being provisioned: empty.
    fn provisioning_bins(&self, offers: &[PoolOffer], now: f64) -> Vec<Bin> {
        let mut bins = Vec::new();
        for (pool, offer) in offers.iter().enumerate() {
            let booting = self
                .workers
                .iter()
                .filter(|worker| !worker.terminating && worker.last_heartbeat_at.is_none())
                .filter(|worker| offer.key.contains(worker))
                .filter(|worker| !offer.is_overdue(worker.first_seen_at, now))
                .count() as u32;
            let expected = self.fleet.instances_expected(&offer.key);
            bins.extend((0..booting + expected).map(|_| Bin::new(pool, offer)));
        }
        bins
    }

    fn bin_request<'a>(&self, job: &'a Job, now: f64) -> BinRequest<'a> {
        BinRequest {
            job,
            resources: scheduler::resource_request(&job.spec),
            tasks_per_zone: job.bound_per_zone().clone(),
            task_s: RUNTIME_ESTIMATE_MARGIN * self.fleet.runtime_bias * job.spec.expected_runtime_s,
            now,
        }
    }

    /// The capacity that the running tasks of arrays release by finishing.
    fn release_forecast(&self, offers: &[PoolOffer]) -> ReleaseForecast {
        let mut cpus_freed_per_s = 0.0;
        let mut running = 0_u32;
        for worker in self.workers.iter().filter(|worker| worker.is_schedulable()) {
            for (task, binding) in &worker.bindings {
                if let Some(job) = self.jobs.get(&task.job)
                    && !job.is_service()
                {
                    let task_s = self.fleet.runtime_bias * job.spec.expected_runtime_s;
                    let least_s = self.fleet.heartbeat_interval_s / 2.0;
                    cpus_freed_per_s += binding.request.cpus / task_s.max(least_s);
                    running += 1;
                }
            }
        }
        // The fewer tasks run, the less certain it is when they finish.
        let uncertainty = TURN_UNCERTAINTY / f64::from(running.max(1)).sqrt();
        ReleaseForecast {
            cpus_freed_per_s,
            margin: TURN_MARGIN * (1.0 + uncertainty),
            quickest_boot_s: offers
                .iter()
                .map(|offer| offer.instance_type.boot_time_s)
                .fold(f64::INFINITY, f64::min),
            cpus_ahead: 0.0,
        }
    }
}

/// Fits up to `limit` waiting tasks of one job. Returns how many were considered.
fn fit_job(
    mut request: BinRequest,
    pending: &PendingDemand,
    limit: u32,
    forecast: &mut ReleaseForecast,
    offers: &mut [PoolOffer],
    fit: &mut DemandFit,
) -> u32 {
    let spec = &request.job.spec;
    // Bins without capacity for one task have none for the next.
    let mut first = 0;
    for considered in 0..limit {
        forecast.cpus_ahead += spec.cpus;
        if forecast.serves(&request) {
            continue;
        }
        let Some(found) = fit.find_bin(offers, first, &request) else {
            return considered + 1;
        };
        first = found;
        let bin = &mut fit.bins[found];
        bin.free -= request.resources;
        bin.used = true;
        let offer = &offers[bin.pool];
        let zone = offer.key.zone.clone();
        *request.tasks_per_zone.entry(zone).or_default() += 1;
        let share = request.resources.dominant_share(&offer.resources());
        fit.demand[bin.pool].add(spec, pending.oldest_wait_s, share);
    }
    limit
}
