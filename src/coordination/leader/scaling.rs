//! How many machines each pool should have: the demand of what waits, the room for replicas to come,
//! and the autoscaler's decision.

use super::fleet::{self, PoolKey, ScaleInReason};
use super::{Leader, RUNTIME_ESTIMATE_MARGIN};
use crate::bookkeeping::workers::{Resources, Worker};
use crate::coordination::autoscaler::{self, PoolLoad};
use crate::coordination::scheduler;
use crate::policy::{Figures, PoolState};
use crate::protocol::cloud::InstanceType;
use crate::protocol::job::{JobSpec, PriorityClass};
use std::collections::HashMap;

/// Margin on the time until waiting work has its turn on machines that are in use.
const TURN_MARGIN: f64 = 1.2;
/// How much less sure that time is for a single running task.
const TURN_DOUBT: f64 = 4.0;
/// Waiting tasks that are fitted onto machines one by one, several times what a thousand machines
/// run; it bounds the work of a round, and what is beyond waits for the next.
const MAX_FITTED: u32 = 50_000;

/// A machine that is on its way or would be rented, with the room that is left on it.
struct Bin {
    pool: usize,
    free: Resources,
    used: bool,
}

struct PoolOffer<'a> {
    key: PoolKey,
    instance_type: &'a InstanceType,
    price: f64,
    blocked: bool,
    /// Machines that may be asked for in this round; few after a refusal, so that not all demand
    /// waits for another one.
    remaining: u32,
}

impl PoolOffer<'_> {
    fn unit_price(&self) -> f64 {
        self.price / self.instance_type.cpus.max(1.0)
    }
}

/// What a pool has, and what is wanted of it.
#[derive(Default, Clone)]
struct PoolInventory {
    /// Machines that are up, booting in the usual time, or being rented.
    machines: u32,
    /// Machines being rented.
    provisioning: u32,
    /// Machines with tasks.
    busy: u32,
    /// Machines up without tasks.
    idle: u32,
    /// What tasks take.
    allocated: Resources,
    /// What replicas take of that.
    service_usage: Resources,
    /// Machines not in use that what waits would fill.
    machines_to_fill: u32,
    /// Machines not in use that are kept for replicas to come.
    headroom_machines: u32,
}

#[derive(Default, Clone)]
struct Demand {
    /// The most urgent work.
    priority: Option<PriorityClass>,
    pending: u32,
    oldest_s: f64,
    expected_runtime_s: f64,
    machine_share: f64,
}

impl Leader {
    /// One round of the autoscaler.
    pub(super) fn run_autoscaler(&mut self, now: f64) {
        let instance_types = self.instance_types.clone();
        let mut offers = self.pool_offers(&instance_types, now);
        let mut bins = self.provisioning_bins(&offers, now);
        let mut demand = vec![Demand::default(); offers.len()];
        self.fit_demand(&mut offers, &mut bins, &mut demand, now);
        let stocks: Vec<PoolInventory> = offers
            .iter()
            .map(|offer| self.pool_inventory(offer, now))
            .collect();
        let figures: Vec<Figures> = (0..offers.len())
            .map(|i| self.policy_figures(&offers[i], &stocks[i], &demand[i]))
            .collect();
        let fill: Vec<u32> = (0..offers.len())
            .map(|i| bins.iter().filter(|b| b.pool == i && b.used).count() as u32)
            .collect();
        let spare = self.headroom_machines(&offers, &bins, &stocks, &figures);
        let mut back = Vec::new();
        for (i, offer) in offers.iter().enumerate() {
            let stock = PoolInventory {
                machines_to_fill: fill[i],
                headroom_machines: spare[i],
                ..stocks[i].clone()
            };
            back.extend(self.scale_pool(offer, &demand[i], &stock, &figures[i], now));
        }
        for name in back {
            self.scale_in(&name, ScaleInReason::Idle);
        }
        self.consolidate_zones(&offers, &figures, now);
    }

    /// Moves replicas together in each zone, while none waits.
    fn consolidate_zones(&mut self, offers: &[PoolOffer], figures: &[Figures], now: f64) {
        let replicas_wait = self.pending_demand.iter().any(|pending_demand| {
            let job = self.jobs.get(&pending_demand.job);
            job.is_some_and(|job| job.is_service())
        });
        // A new leader first hears from everybody.
        let settings = self.settings.clone();
        if replicas_wait || now - self.elected_at < settings.deployment.workers.lease_s {
            return;
        }
        for zone in &settings.deployment.zones {
            if let Some((keep, need)) = self.headroom(offers, figures, zone)
                && !self.fleet.was_partitioned(zone)
            {
                self.consolidate(zone, keep, &need);
            }
        }
    }

    /// For how many replicas to come room is kept in a zone, and what one takes on average.
    fn headroom(
        &self,
        offers: &[PoolOffer],
        figures: &[Figures],
        zone: &str,
    ) -> Option<(u32, Resources)> {
        let here = |offer: &PoolOffer| !offer.key.spot && offer.key.zone == zone;
        let shares = offers.iter().zip(figures).filter(|(offer, _)| here(offer));
        let share = shares.map(|(_, f)| f.headroom).fold(0.0, f64::max);
        let (count, need) = self.average_replica(zone)?;
        Some(((share * count).ceil() as u32, need))
    }

    /// All pools, the cheap ones first.
    fn pool_offers<'a>(&self, instance_types: &'a [InstanceType], now: f64) -> Vec<PoolOffer<'a>> {
        let mut offers: Vec<PoolOffer> = instance_types
            .iter()
            .flat_map(|instance_type| {
                instance_type.zones.iter().flat_map(move |zone| {
                    [false, true].map(|spot| (instance_type, zone.clone(), spot))
                })
            })
            .filter(|(instance_type, _, spot)| !spot || instance_type.spot_price.is_some())
            .map(|(instance_type, zone, spot)| {
                let key = PoolKey {
                    instance_type: instance_type.name.clone(),
                    zone,
                    spot,
                };
                PoolOffer {
                    remaining: self.fleet.request_limit(&key),
                    // What would come up in a zone that is partitioned could not be reached either.
                    blocked: self.fleet.is_blocked(&key, now)
                        || self.fleet.is_partitioned(&key.zone, now),
                    price: if spot {
                        instance_type
                            .spot_price
                            .unwrap_or(instance_type.on_demand_price)
                    } else {
                        instance_type.on_demand_price
                    },
                    key,
                    instance_type,
                }
            })
            .collect();
        offers.sort_by(|a, b| a.unit_price().total_cmp(&b.unit_price()));
        offers
    }

    /// What a pool has.
    fn pool_inventory(&self, offer: &PoolOffer, now: f64) -> PoolInventory {
        let mut stock = PoolInventory::default();
        for worker in self.workers.iter() {
            if worker.terminating || worker.reclaim_at.is_some() || !offer.key.contains(worker) {
                continue;
            }
            let overdue = worker.last_heartbeat_at.is_none()
                && !worker.listed_running
                && now - worker.first_seen_at > fleet::BOOT_USUAL * offer.instance_type.boot_time_s;
            if overdue {
                continue;
            }
            stock.machines += 1;
            stock.busy += u32::from(!worker.bindings.is_empty());
            stock.idle += u32::from(worker.bindings.is_empty() && worker.is_schedulable());
            stock.allocated += worker.allocated();
            stock.service_usage += self.service_usage(worker);
        }
        stock.provisioning = self.fleet.instances_expected(&offer.key);
        stock.machines += stock.provisioning;
        stock
    }

    /// What replicas take of a worker.
    fn service_usage(&self, worker: &Worker) -> Resources {
        worker
            .bindings
            .iter()
            .filter(|(task, _)| self.jobs.get(&task.job).is_some_and(|job| job.is_service()))
            .map(|(_, binding)| binding.request)
            .sum()
    }

    fn policy_figures(&self, offer: &PoolOffer, stock: &PoolInventory, demand: &Demand) -> Figures {
        self.policy.figures(&PoolState {
            spot: offer.key.spot,
            boot_time_s: offer.instance_type.boot_time_s,
            hourly: offer.price,
            cpus: offer.instance_type.cpus,
            busy: stock.busy,
            machines: stock.machines,
            waiting: demand.pending,
        })
    }

    /// Machines of each pool that are kept for replicas to come: in each zone there is to be room
    /// for a share of those there are, whatever pool still has machines. Room that arrays have
    /// taken counts, since they make way.
    fn headroom_machines(
        &self,
        offers: &[PoolOffer],
        bins: &[Bin],
        stocks: &[PoolInventory],
        figures: &[Figures],
    ) -> Vec<u32> {
        let mut spare = vec![0; offers.len()];
        for zone in &self.settings.deployment.zones {
            let here: Vec<usize> = (0..offers.len())
                .filter(|i| !offers[*i].key.spot && offers[*i].key.zone == *zone)
                .collect();
            let Some((mut missing, need)) = self.headroom(offers, figures, zone) else {
                continue;
            };
            for worker in self.workers.iter() {
                let in_use = worker.is_schedulable() && !worker.spot && !worker.bindings.is_empty();
                let offer = offers.iter().find(|offer| offer.key.contains(worker));
                if let Some(offer) = offer.filter(|_| in_use && worker.zone == *zone) {
                    let free = Resources::from(offer.instance_type) - self.service_usage(worker);
                    missing = missing.saturating_sub(free.count_fitting(&need));
                }
            }
            for i in &here {
                let each = Resources::from(offers[*i].instance_type).count_fitting(&need);
                let unused = bins.iter().filter(|b| b.pool == *i && !b.used).count() as u32;
                let there = stocks[*i].idle + unused;
                while each > 0 && missing >= each && spare[*i] < there {
                    spare[*i] += 1;
                    missing -= each;
                }
            }
            for i in &here {
                let each = Resources::from(offers[*i].instance_type).count_fitting(&need);
                if each > 0 && !offers[*i].blocked {
                    // Less than a machine's worth is none: in a small zone it would be expensive.
                    spare[*i] += missing / each;
                    missing = 0;
                }
            }
        }
        spare
    }

    /// How many replicas a zone has or will have, and what one takes on average.
    fn average_replica(&self, zone: &str) -> Option<(f64, Resources)> {
        let zones = self.settings.deployment.zones.len() as f64;
        let mut count = 0.0;
        let mut sum = Resources::default();
        for job in self.jobs.iter().filter(|job| job.is_service()) {
            let here = f64::from(job.bound_per_zone.get(zone).copied().unwrap_or(0));
            let here = here + f64::from(job.startable_count()) / zones;
            count += here;
            sum += scheduler::resource_request(&job.spec) * here;
        }
        (count > 0.0).then(|| (count, sum * (1.0 / count)))
    }

    /// Machines that are booting, in the usual time, or being rented: empty.
    fn provisioning_bins(&self, offers: &[PoolOffer], now: f64) -> Vec<Bin> {
        let mut bins = Vec::new();
        for (i, offer) in offers.iter().enumerate() {
            let booting = self
                .workers
                .iter()
                .filter(|h| {
                    !h.terminating && h.last_heartbeat_at.is_none() && offer.key.contains(h)
                })
                .filter(|h| {
                    now - h.first_seen_at <= fleet::BOOT_USUAL * offer.instance_type.boot_time_s
                })
                .count() as u32;
            let expected = self.fleet.instances_expected(&offer.key);
            for _ in 0..booting + expected {
                bins.push(Bin {
                    pool: i,
                    free: Resources::from(offer.instance_type),
                    used: false,
                });
            }
        }
        bins
    }

    /// Fits the waiting tasks onto machines that are coming, then onto machines yet to be rented.
    fn fit_demand(
        &self,
        offers: &mut [PoolOffer],
        bins: &mut Vec<Bin>,
        demand: &mut [Demand],
        now: f64,
    ) {
        let mut left = MAX_FITTED;
        // Room that running tasks will release each second, and who is ahead for it.
        let (freed, running) = self.cpus_freed_per_s();
        // The fewer tasks run, the less sure it is when they end.
        let margin = TURN_MARGIN * (1.0 + TURN_DOUBT / f64::from(running.max(1)).sqrt());
        let boot_time_s = offers
            .iter()
            .map(|offer| offer.instance_type.boot_time_s)
            .fold(f64::INFINITY, f64::min);
        let mut ahead = 0.0;
        for pending_demand in &self.pending_demand {
            let Some(job) = self.jobs.get(&pending_demand.job) else {
                continue;
            };
            let spec = &job.spec;
            let need = scheduler::resource_request(spec);
            let mut zones = job.bound_per_zone.clone();
            // Work that may use spot machines waits for them as long as it can still be on time
            // with an on-demand machine rented later.
            let time_s =
                RUNTIME_ESTIMATE_MARGIN * self.fleet.runtime_bias * spec.expected_runtime_s;
            let patient = |offer: &PoolOffer| {
                let boot_time_s = offer.instance_type.boot_time_s;
                spec.spot
                    && job
                        .deadline
                        .is_some_and(|deadline| now + boot_time_s + time_s < deadline)
            };
            // What will have its turn in time on the machines there are, or sooner than a new one is
            // up, needs no others.
            let served = |ahead: f64| {
                let turn_s = margin * ahead / freed.max(1e-6);
                let on_time = job
                    .deadline
                    .is_some_and(|deadline| now + turn_s + time_s <= deadline);
                let soon = turn_s <= boot_time_s;
                freed > 0.0 && !job.is_service() && (on_time || soon)
            };
            // Bins that have no room for one task have none for the next.
            let mut from = 0;
            for _ in 0..pending_demand.count.min(left) {
                left -= 1;
                ahead += spec.cpus;
                if served(ahead) {
                    continue;
                }
                let Some(bin) = fit(offers, bins, from, spec, &need, &zones, patient) else {
                    break;
                };
                from = bin;
                let bin = &mut bins[bin];
                bin.free -= need;
                bin.used = true;
                let offer = &offers[bin.pool];
                *zones.entry(offer.key.zone.clone()).or_default() += 1;
                let pool = &mut demand[bin.pool];
                pool.priority = Some(
                    pool.priority
                        .map_or(spec.priority, |priority| priority.min(spec.priority)),
                );
                pool.pending += 1;
                pool.oldest_s = pool.oldest_s.max(pending_demand.age_s);
                pool.expected_runtime_s += spec.expected_runtime_s;
                pool.machine_share += need.dominant_share(&Resources::from(offer.instance_type));
            }
        }
        if left == 0 {
            tracing::info!(fitted = MAX_FITTED, "demand truncated for this round");
        }
    }

    /// CPUs that the tasks of arrays free each second by ending, and how many tasks these are.
    fn cpus_freed_per_s(&self) -> (f64, u32) {
        let (mut freed, mut running) = (0.0, 0);
        for worker in self.workers.iter().filter(|worker| worker.is_schedulable()) {
            for (task, binding) in &worker.bindings {
                if let Some(job) = self.jobs.get(&task.job)
                    && !job.is_service()
                {
                    let takes_s = self.fleet.runtime_bias * job.spec.expected_runtime_s;
                    freed +=
                        binding.request.cpus / takes_s.max(self.fleet.heartbeat_interval_s / 2.0);
                    running += 1;
                }
            }
        }
        (freed, running)
    }

    /// Sets one pool's target, rents what is missing, and names what may go.
    fn scale_pool(
        &mut self,
        offer: &PoolOffer,
        demand: &Demand,
        stock: &PoolInventory,
        figures: &Figures,
        now: f64,
    ) -> Vec<String> {
        let key = &offer.key;
        let whole = Resources::from(offer.instance_type);
        let (machines, busy) = (stock.machines, stock.busy);
        let since = self.elected_at;
        let pool = self.fleet.pools.entry(key.clone()).or_default();
        pool.starts.trim(figures.window_s, now);
        pool.finishes.trim(figures.window_s, now);
        let pending = f64::from(demand.pending.max(1));
        let per_machine = match pool.machine_share {
            Some(share) => 1.0 / share,
            None if demand.pending > 0 && demand.machine_share > 0.0 => {
                pending / demand.machine_share
            }
            None => 1.0,
        };
        let task_s = pool
            .task_s
            .unwrap_or(demand.expected_runtime_s / pending)
            .max(self.fleet.heartbeat_interval_s / 5.0);
        let events = pool.starts.rate(figures.window_s, since, now)
            + pool.finishes.rate(figures.window_s, since, now);
        let rate = if events > 0.0 && busy > 0 {
            events / f64::from(busy)
        } else {
            per_machine / task_s
        };
        let load = PoolLoad {
            pending: demand.pending,
            oldest_s: demand.oldest_s,
            rate,
            forecast: pool.starts.forecast(figures.window_s, since, now),
            task_s,
            per_machine,
            service_machines: stock.service_usage.dominant_share(&whole),
            busy,
            headroom_machines: stock.headroom_machines,
            machines_to_fill: stock.machines_to_fill,
        };
        let decision = autoscaler::decide(&load, figures);
        tracing::debug!(
            pool = %key,
            machines,
            renting = stock.provisioning,
            busy,
            used = stock.allocated.dominant_share(&whole),
            ?load,
            "pool"
        );
        if pool.last_decision != Some(decision) {
            pool.last_decision = Some(decision);
            tracing::info!(
                pool = %key,
                little = decision.little,
                trend = decision.trend,
                drain = decision.drain,
                target = decision.target,
                reason = ?decision.reason,
                machines,
                busy,
                pending = demand.pending,
                "scaling decision"
            );
        }
        if decision.target > machines && !offer.blocked && stock.provisioning == 0 {
            self.scale_out(key, demand.priority, decision.target - machines);
        }
        let surplus = machines.saturating_sub(decision.target) as usize;
        // Machines in a zone that is partitioned are idle only for want of somebody to ask them.
        let cut = self.fleet.was_partitioned(&key.zone);
        let mut idle: Vec<&Worker> = self
            .workers
            .iter()
            .filter(|worker| {
                !cut && key.contains(worker)
                    && !worker.terminating
                    && worker.last_heartbeat_at.is_some()
                    && worker.bindings.is_empty()
                    && now - worker.idle_since > figures.cooldown_s
            })
            .collect();
        idle.sort_by(|a, b| a.idle_since.total_cmp(&b.idle_since));
        let back: Vec<String> = idle
            .into_iter()
            .take(surplus)
            .map(|worker| worker.name.clone())
            .collect();
        if !back.is_empty() {
            tracing::info!(pool = %key, count = back.len(), target = decision.target, "scale-in of idle workers");
        }
        back
    }
}

/// A bin for one more task: one that is there, or a new one from the cheapest pool that is not
/// known to be sold out.
fn fit(
    offers: &mut [PoolOffer],
    bins: &mut Vec<Bin>,
    from: usize,
    spec: &JobSpec,
    need: &Resources,
    zones: &HashMap<String, u32>,
    patient: impl Fn(&PoolOffer) -> bool,
) -> Option<usize> {
    let suits = |offer: &PoolOffer| {
        let zone = &offer.key.zone;
        let other = spec.one_zone && !zones.is_empty() && !zones.contains_key(zone);
        spec.allows(&offer.key.instance_type, zone, offer.key.spot)
            && (offer.key.spot || !patient(offer))
            && !other
            && zones.get(zone).copied().unwrap_or(0) < spec.zone_limit()
    };
    let replicas = |offer: &PoolOffer| {
        if spec.spread {
            zones.get(&offer.key.zone).copied().unwrap_or(0)
        } else {
            0
        }
    };
    let there = bins
        .iter()
        .skip(from)
        .position(|bin| bin.free.fits(need) && suits(&offers[bin.pool]));
    if let Some(i) = there {
        return Some(from + i);
    }
    let (pool, offer) = offers
        .iter()
        .enumerate()
        .filter(|(_, offer)| {
            !offer.blocked
                && offer.remaining > 0
                && suits(offer)
                && Resources::from(offer.instance_type).fits(need)
        })
        .min_by(|(_, a), (_, b)| {
            let cost = |offer: &PoolOffer| {
                offer.price
                    / f64::from(
                        Resources::from(offer.instance_type)
                            .count_fitting(need)
                            .max(1),
                    )
            };
            replicas(a)
                .cmp(&replicas(b))
                .then(cost(a).total_cmp(&cost(b)))
        })?;
    bins.push(Bin {
        pool,
        free: Resources::from(offer.instance_type),
        used: false,
    });
    offers[pool].remaining -= 1;
    Some(bins.len() - 1)
}
