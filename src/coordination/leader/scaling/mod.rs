//! A round of the autoscaler: sets the number of instances that each pool should have, and acts on it.
//!
//! First the pending tasks are fitted onto instances that are being provisioned, are booting, or would be created
//! ([`demand`]), and headroom for future replicas is set aside ([`headroom`]). Then the autoscaler sets the target
//! of each pool, and the pool is scaled out or in ([`target`]).

mod demand;
mod headroom;
mod pool;
mod target;

use super::Leader;
use super::fleet::ScaleInReason;
use crate::policy::{PoolState, ScalingParameters};
use demand::DemandFit;
use pool::{PoolInventory, PoolOffer};

impl Leader {
    /// Runs one round of the autoscaler.
    pub(super) fn run_autoscaler(&mut self, now: f64) {
        let instance_types = self.instance_types.clone();
        let mut offers = self.pool_offers(&instance_types, now);
        let fit = self.fit_demand(&mut offers, now);
        let mut inventories: Vec<PoolInventory> = offers
            .iter()
            .map(|offer| self.pool_inventory(offer, now))
            .collect();
        let parameters = self.policy_parameters(&offers, &inventories, &fit);
        let headroom = self.headroom_machines(&offers, &fit, &inventories, &parameters);
        let mut surplus = Vec::new();
        for (i, offer) in offers.iter().enumerate() {
            let inventory = &mut inventories[i];
            inventory.machines_to_fill = fit.machines_to_fill(i);
            inventory.headroom_machines = headroom[i];
            let decision = self.set_target(offer, &fit.demand[i], inventory, &parameters[i], now);
            self.scale_out_pool(offer, &fit.demand[i], inventory, decision);
            surplus.extend(self.surplus_workers(offer, inventory, &parameters[i], decision, now));
        }
        for name in surplus {
            self.scale_in(&name, ScaleInReason::Idle);
        }
        self.consolidate_zones(&offers, &parameters, now);
    }

    /// Returns the policy's scaling parameters for each pool.
    fn policy_parameters(
        &self,
        offers: &[PoolOffer],
        inventories: &[PoolInventory],
        fit: &DemandFit,
    ) -> Vec<ScalingParameters> {
        let pools = offers.iter().zip(inventories).zip(&fit.demand);
        pools
            .map(|((offer, inventory), demand)| {
                self.policy.parameters(&PoolState {
                    spot: offer.key.spot,
                    boot_time_s: offer.instance_type.boot_time_s,
                    hourly: offer.price,
                    cpus: offer.instance_type.cpus,
                    busy: inventory.busy,
                    machines: inventory.machines,
                    waiting: demand.pending,
                })
            })
            .collect()
    }

    /// Consolidates the replicas of each zone, unless replicas wait for capacity or this leader was elected less than
    /// a worker lease ago. Zones that are or were recently partitioned are left out.
    fn consolidate_zones(
        &mut self,
        offers: &[PoolOffer],
        parameters: &[ScalingParameters],
        now: f64,
    ) {
        let replicas_wait = self.scheduling.pending_demand.iter().any(|pending_demand| {
            let job = self.jobs.get(&pending_demand.job);
            job.is_some_and(|job| job.is_service())
        });
        // After its election, a leader does not consolidate before all workers have had time to send
        // heartbeats.
        let settings = self.settings.clone();
        if replicas_wait || now - self.elected_at < settings.deployment.workers.lease_s {
            return;
        }
        for zone in &settings.deployment.zones {
            if let Some(headroom) = self.headroom(offers, parameters, zone)
                && !self.fleet.was_partitioned(zone)
            {
                self.consolidate(zone, headroom.replicas, &headroom.request, now);
            }
        }
    }
}
