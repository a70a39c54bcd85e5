//! The pools of a round: what each offers, and what is there.

use crate::bookkeeping::workers::{Resources, Worker};
use crate::coordination::leader::Leader;
use crate::coordination::leader::fleet::{self, PoolKey};
use crate::protocol::cloud::InstanceType;

/// What a pool offers in this round.
pub(super) struct PoolOffer<'a> {
    pub(super) key: PoolKey,
    pub(super) instance_type: &'a InstanceType,
    /// Price per hour.
    pub(super) price: f64,
    /// Nothing is requested of it now.
    pub(super) blocked: bool,
    /// Instances that may still be requested in this round; few after a rejection, so that not all
    /// demand waits for another one.
    pub(super) remaining: u32,
}

impl PoolOffer<'_> {
    /// The resources of one instance.
    pub(super) fn resources(&self) -> Resources {
        Resources::from(self.instance_type)
    }

    fn price_per_cpu(&self) -> f64 {
        self.price / self.instance_type.cpus.max(1.0)
    }

    /// Whether an instance first seen at some time has not booted in the usual time.
    pub(super) fn is_overdue(&self, first_seen_at: f64, now: f64) -> bool {
        now - first_seen_at > fleet::BOOT_OVERDUE_FACTOR * self.instance_type.boot_time_s
    }
}

/// What a pool has, and what it needs beyond the instances in use.
#[derive(Default)]
pub(super) struct PoolInventory {
    /// Instances that are up, booting within the usual time, or being provisioned.
    pub(super) machines: u32,
    /// Instances being provisioned.
    pub(super) provisioning: u32,
    /// Instances with tasks.
    pub(super) busy: u32,
    /// Instances that are up and have no tasks.
    pub(super) idle: u32,
    /// What tasks take.
    pub(super) allocated: Resources,
    /// What replicas take of that.
    pub(super) service_usage: Resources,
    /// Instances beyond the busy ones that the waiting tasks would fill.
    pub(super) machines_to_fill: u32,
    /// Instances beyond the busy ones that are kept for replicas to come.
    pub(super) headroom_machines: u32,
}

impl Leader {
    /// All pools, by price for each CPU.
    pub(super) fn pool_offers<'a>(
        &self,
        instance_types: &'a [InstanceType],
        now: f64,
    ) -> Vec<PoolOffer<'a>> {
        let mut offers = Vec::new();
        for instance_type in instance_types {
            for zone in &instance_type.zones {
                offers.push(self.pool_offer(
                    instance_type,
                    zone,
                    false,
                    instance_type.on_demand_price,
                    now,
                ));
                if let Some(price) = instance_type.spot_price {
                    offers.push(self.pool_offer(instance_type, zone, true, price, now));
                }
            }
        }
        offers.sort_by(|a, b| a.price_per_cpu().total_cmp(&b.price_per_cpu()));
        offers
    }

    fn pool_offer<'a>(
        &self,
        instance_type: &'a InstanceType,
        zone: &str,
        spot: bool,
        price: f64,
        now: f64,
    ) -> PoolOffer<'a> {
        let key = PoolKey {
            instance_type: instance_type.name.clone(),
            zone: zone.to_owned(),
            spot,
        };
        PoolOffer {
            remaining: self.fleet.request_limit(&key),
            // Instances that come up in a partitioned zone could not be reached.
            blocked: self.fleet.is_blocked(&key, now) || self.fleet.is_partitioned(zone, now),
            price,
            key,
            instance_type,
        }
    }

    /// What a pool has.
    pub(super) fn pool_inventory(&self, offer: &PoolOffer, now: f64) -> PoolInventory {
        let mut inventory = PoolInventory::default();
        for worker in self.workers.iter() {
            if worker.terminating || worker.reclaim_at.is_some() || !offer.key.contains(worker) {
                continue;
            }
            let is_up = worker.last_heartbeat_at.is_some() || worker.listed_running;
            if !is_up && offer.is_overdue(worker.first_seen_at, now) {
                continue;
            }
            inventory.machines += 1;
            inventory.busy += u32::from(!worker.bindings.is_empty());
            inventory.idle += u32::from(worker.bindings.is_empty() && worker.is_schedulable());
            inventory.allocated += worker.allocated();
            inventory.service_usage += self.service_usage(worker);
        }
        inventory.provisioning = self.fleet.instances_expected(&offer.key);
        inventory.machines += inventory.provisioning;
        inventory
    }

    /// What replicas take of a worker.
    pub(super) fn service_usage(&self, worker: &Worker) -> Resources {
        worker
            .bindings
            .iter()
            .filter(|(task, _)| self.jobs.get(&task.job).is_some_and(|job| job.is_service()))
            .map(|(_, binding)| binding.request)
            .sum()
    }
}
