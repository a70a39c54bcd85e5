//! The pools in a round of the autoscaler: what can be requested from each, and the instances that it has.

use crate::bookkeeping::workers::{Resources, Worker};
use crate::coordination::leader::Leader;
use crate::coordination::leader::fleet::PoolKey;
use crate::protocol::cloud::InstanceType;

/// What can be requested from a pool in this round.
pub(super) struct PoolOffer<'a> {
    pub(super) key: PoolKey,
    pub(super) instance_type: &'a InstanceType,
    /// Price per hour.
    pub(super) price: f64,
    /// No instances may be requested from the pool in this round.
    pub(super) blocked: bool,
    /// Number of instances that may still be requested in this round. The initial number is low after the cloud could
    /// not create all requested instances of the pool, so that most of the demand goes to other pools and does not
    /// wait for a second rejection.
    pub(super) remaining: u32,
}

impl PoolOffer<'_> {
    /// Returns the resources of one instance.
    pub(super) fn resources(&self) -> Resources {
        Resources::from(self.instance_type)
    }

    fn price_per_cpu(&self) -> f64 {
        self.price / self.instance_type.cpus.max(1.0)
    }
}

/// Counts of a pool's instances, the resources in use on them, and the numbers of instances that it needs beyond
/// the busy ones.
#[derive(Default)]
pub(super) struct PoolInventory {
    /// Instances that can take tasks or are expected to within a bounded time, and those being provisioned.
    pub(super) machines: u32,
    /// Instances being provisioned.
    pub(super) provisioning: u32,
    /// Instances that can't take tasks and no longer count as capacity.
    pub(super) unavailable: u32,
    /// Instances with bound tasks.
    pub(super) busy: u32,
    /// Instances that have no bound tasks, and onto which tasks may be placed.
    pub(super) idle: u32,
    /// Resources that all bound tasks request.
    pub(super) allocated: Resources,
    /// Resources that bound replicas request.
    pub(super) service_usage: Resources,
    /// Instances onto which pending tasks were fitted, not counting the busy ones.
    pub(super) machines_to_fill: u32,
    /// Instances that are kept as headroom, not counting the busy ones.
    pub(super) headroom_machines: u32,
}

impl Leader {
    /// Returns the offers of all pools, in the order of their price per CPU.
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
            // This controller can't reach instances in a partitioned zone, so new ones there would be of no use.
            blocked: self.fleet.is_blocked(&key, now) || self.fleet.is_partitioned(zone, now),
            price,
            key,
            instance_type,
        }
    }

    /// Counts a pool's instances and the resources in use on them. Instances that don't count as capacity are left out.
    /// `machines_to_fill` and `headroom_machines` are left at zero.
    pub(super) fn pool_inventory(&self, offer: &PoolOffer, now: f64) -> PoolInventory {
        let mut inventory = PoolInventory::default();
        for worker in self.workers.iter() {
            if !offer.key.contains(worker) {
                continue;
            }
            if !self.counts_as_capacity(worker, now) {
                inventory.unavailable += 1;
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

    /// Returns the resources that replicas on a worker request.
    pub(super) fn service_usage(&self, worker: &Worker) -> Resources {
        worker
            .bindings
            .iter()
            .filter(|(task, _)| self.jobs.get(&task.job).is_some_and(|job| job.is_service()))
            .map(|(_, binding)| binding.request)
            .sum()
    }
}
