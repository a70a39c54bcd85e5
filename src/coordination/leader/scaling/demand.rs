//! Demand: fits the pending tasks onto instances by bin packing, to find how many instances each pool needs.

use super::pool::PoolOffer;
use crate::bookkeeping::jobs::Job;
use crate::bookkeeping::workers::Resources;
use crate::coordination::leader::{Leader, RUNTIME_ESTIMATE_MARGIN};
use crate::coordination::scheduler::{self, PendingDemand};
use crate::protocol::job::{JobSpec, PriorityClass};
use std::collections::HashMap;

/// Factor on the estimated time until workers in use have capacity for a pending task, when many tasks are running.
const QUEUE_WAIT_MARGIN: f64 = 1.2;
/// Relative increase of [`QUEUE_WAIT_MARGIN`] when a single task is running. With more running tasks the increase is
/// divided by the square root of their number.
const QUEUE_WAIT_UNCERTAINTY: f64 = 4.0;
/// Maximum number of pending tasks that are fitted in a round, several times what a thousand instances run. It
/// bounds the work of a round; further tasks are left for the next round.
const MAX_FITTED: u32 = 50_000;
/// Lower bound on the rate at which running tasks release CPUs, to avoid a division by zero.
const MIN_CPUS_FREED_PER_S: f64 = 1e-6;

/// The pending tasks that are fitted onto instances of a pool.
#[derive(Debug, Default, Clone)]
pub(super) struct Demand {
    /// The highest priority of these tasks; `None` if there are none.
    pub(super) priority: Option<PriorityClass>,
    /// Number of these tasks.
    pub(super) pending: u32,
    /// Seconds for which the oldest of these tasks has been pending.
    pub(super) oldest_s: f64,
    /// Sum of the expected run times of these tasks, in seconds.
    pub(super) expected_runtime_s: f64,
    /// Sum of the shares of an instance that the tasks request.
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

/// An instance that is being provisioned, is booting, or would be created, with the capacity left on it.
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

/// The pending tasks, fitted onto instances that are being provisioned, are booting, or would be created.
pub(super) struct DemandFit {
    /// The demand on each pool, in the order of the offers.
    pub(super) demand: Vec<Demand>,
    bins: Vec<Bin>,
}

impl DemandFit {
    /// Returns the number of instances of a pool that pending tasks were fitted onto, including those that would be
    /// created.
    pub(super) fn machines_to_fill(&self, pool: usize) -> u32 {
        self.count_bins(pool, true)
    }

    /// Returns the number of instances of a pool that are being provisioned or booting and that no pending task was
    /// fitted onto.
    pub(super) fn unused_bins(&self, pool: usize) -> u32 {
        self.count_bins(pool, false)
    }

    fn count_bins(&self, pool: usize, used: bool) -> u32 {
        let bins = self.bins.iter();
        bins.filter(|bin| bin.pool == pool && bin.used == used)
            .count() as u32
    }

    /// Returns the index of a bin for one more task: an existing bin, searched from index `first` on, or a new bin
    /// from the best offer. `None` if no offer allows a new bin.
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
        if let Some(offset) = existing {
            return Some(first + offset);
        }
        let pool = request.best_offer(offers)?;
        self.bins.push(Bin::new(pool, &offers[pool]));
        offers[pool].remaining -= 1;
        Some(self.bins.len() - 1)
    }
}

/// What a task of a job requires of a bin.
struct BinRequest<'a> {
    job: &'a Job,
    resources: Resources,
    /// Number of the job's tasks in each zone: the bound ones, and those fitted so far.
    tasks_per_zone: HashMap<String, u32>,
    /// Estimated run time of a task in seconds, including a margin for wrong estimates.
    task_s: f64,
    now: f64,
}

impl BinRequest<'_> {
    /// Whether a task waits for a spot instance instead of taking an on-demand one of this offer. A task that may use
    /// spot instances waits as long as an on-demand instance that is created now would be up early enough for the
    /// task to meet its deadline; a task without a deadline does not wait.
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
    fn may_run_in(&self, offer: &PoolOffer) -> bool {
        let spec = &self.job.spec;
        let zone = &offer.key.zone;
        let zones = &self.tasks_per_zone;
        let other_zone = spec.one_zone && !zones.is_empty() && !zones.contains_key(zone);
        spec.allows(&offer.key.instance_type, zone, offer.key.spot)
            && !other_zone
            && self.tasks_in_zone(zone) < spec.zone_limit()
    }

    /// Whether a task may be fitted onto an instance of a pool that is new or booting.
    fn allows(&self, offer: &PoolOffer) -> bool {
        self.may_run_in(offer) && (offer.key.spot || !self.waits_for_spot(offer))
    }

    /// Returns the index of the offer to create an instance from; `None` if no offer is suitable. If the job spreads
    /// its replicas, offers in the zone with the fewest replicas come first; among these, the one with the lowest
    /// price per task.
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

/// The rate at which bound tasks release capacity, and how much of that capacity pending tasks have claimed so far.
struct ReleaseForecast {
    /// CPUs released each second in each pool, in the order of the offers.
    cpus_freed_per_s: Vec<f64>,
    /// Factor on the estimated time until a task gets capacity.
    margin: f64,
    /// The shortest usual boot time of all pools, in seconds.
    quickest_boot_s: f64,
    /// CPUs that the pending tasks considered so far request, including the one that is being considered.
    cpus_ahead: f64,
}

impl ReleaseForecast {
    /// Returns the CPUs released each second that the tasks of a job may use.
    fn cpus_freed_for(&self, request: &BinRequest, offers: &[PoolOffer]) -> f64 {
        offers
            .iter()
            .zip(&self.cpus_freed_per_s)
            .filter(|(offer, _)| request.may_run_in(offer))
            .map(|(_, cpus_freed_per_s)| cpus_freed_per_s)
            .sum()
    }

    /// Whether the task being considered needs no new instance: the workers in use, which release `cpus_freed_per_s` for
    /// its job, will have capacity for the task in time for its deadline, or sooner than a new instance would be up.
    /// Replicas always need capacity now.
    fn serves(&self, request: &BinRequest, cpus_freed_per_s: f64) -> bool {
        let job = request.job;
        let queue_wait_s =
            self.margin * self.cpus_ahead / cpus_freed_per_s.max(MIN_CPUS_FREED_PER_S);
        let meets_deadline = job
            .deadline
            .is_some_and(|deadline| request.now + queue_wait_s + request.task_s <= deadline);
        let before_boot = queue_wait_s <= self.quickest_boot_s;
        cpus_freed_per_s > 0.0 && !job.is_service() && (meets_deadline || before_boot)
    }
}

impl Leader {
    /// Fits the pending tasks onto instances that are being provisioned or booting, then onto instances that would
    /// be created.
    pub(super) fn fit_demand(&self, offers: &mut [PoolOffer], now: f64) -> DemandFit {
        let mut fit = DemandFit {
            demand: vec![Demand::default(); offers.len()],
            bins: self.expected_bins(offers, now),
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

    /// Returns an empty bin for each instance that is being provisioned, or is booting and not overdue.
    fn expected_bins(&self, offers: &[PoolOffer], now: f64) -> Vec<Bin> {
        let mut bins = Vec::new();
        for (pool, offer) in offers.iter().enumerate() {
            let booting = self
                .workers
                .iter()
                .filter(|worker| offer.key.contains(worker) && self.is_booting(worker, now))
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

    /// Forecasts the capacity that bound tasks release by completing. Replicas never complete and don't count.
    fn release_forecast(&self, offers: &[PoolOffer]) -> ReleaseForecast {
        let mut cpus_freed_per_s = vec![0.0; offers.len()];
        let mut running = 0_u32;
        for worker in self.workers.iter().filter(|worker| worker.is_schedulable()) {
            let Some(pool) = offers.iter().position(|offer| offer.key.contains(worker)) else {
                continue;
            };
            for (task, binding) in &worker.bindings {
                if let Some(job) = self.jobs.get(&task.job)
                    && !job.is_service()
                {
                    let task_s = self.fleet.runtime_bias * job.spec.expected_runtime_s;
                    let min_task_s = self.fleet.heartbeat_interval_s / 2.0;
                    cpus_freed_per_s[pool] += binding.request.cpus / task_s.max(min_task_s);
                    running += 1;
                }
            }
        }
        // The fewer tasks run, the less certain is the time at which they complete.
        let uncertainty = QUEUE_WAIT_UNCERTAINTY / f64::from(running.max(1)).sqrt();
        ReleaseForecast {
            cpus_freed_per_s,
            margin: QUEUE_WAIT_MARGIN * (1.0 + uncertainty),
            quickest_boot_s: offers
                .iter()
                .map(|offer| offer.instance_type.boot_time_s)
                .fold(f64::INFINITY, f64::min),
            cpus_ahead: 0.0,
        }
    }
}

/// Fits up to `limit` pending tasks of one job; stops at the first task for which there is no bin. Returns how many
/// tasks were considered.
fn fit_job(
    mut request: BinRequest,
    pending: &PendingDemand,
    limit: u32,
    forecast: &mut ReleaseForecast,
    offers: &mut [PoolOffer],
    fit: &mut DemandFit,
) -> u32 {
    let spec = &request.job.spec;
    // Bins that are not suitable for one task of the job are not suitable for the next one either.
    let mut first = 0;
    let mut cpus_freed_per_s = forecast.cpus_freed_for(&request, offers);
    for considered in 0..limit {
        forecast.cpus_ahead += spec.cpus;
        if forecast.serves(&request, cpus_freed_per_s) {
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
        if spec.one_zone || spec.spread {
            // The zones that the next task may run in can be others.
            cpus_freed_per_s = forecast.cpus_freed_for(&request, offers);
        }
        let share = request.resources.dominant_share(&offer.resources());
        fit.demand[bin.pool].add(spec, pending.oldest_wait_s, share);
    }
    limit
}
