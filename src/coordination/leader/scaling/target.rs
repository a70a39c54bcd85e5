//! Sets a pool's target number of instances, and decides on the scale-out or scale-in that follows.

use super::demand::Demand;
use super::pool::{PoolInventory, PoolOffer};
use crate::bookkeeping::workers::Worker;
use crate::coordination::autoscaler::{self, PoolLoad, ScalingDecision};
use crate::coordination::leader::Leader;
use crate::policy::ScalingParameters;

/// Maximum number of instances that are requested from a pool in a round while all workers are out of contact.
const MAX_INSTANCES_WITHOUT_CONTACT: u32 = 1;

impl Leader {
    /// Measures a pool's load and returns the autoscaler's decision on its target. A decision that differs from the
    /// pool's previous one is logged.
    pub(super) fn set_target(
        &mut self,
        offer: &PoolOffer,
        demand: &Demand,
        inventory: &PoolInventory,
        parameters: &ScalingParameters,
        now: f64,
    ) -> ScalingDecision {
        let load = self.measure_load(offer, demand, inventory, parameters, now);
        let decision = autoscaler::decide(&load, parameters);
        tracing::debug!(
            pool = %offer.key,
            machines = inventory.machines,
            renting = inventory.provisioning,
            unavailable = inventory.unavailable,
            busy = inventory.busy,
            used = inventory.allocated.dominant_share(&offer.resources()),
            ?load,
            "pool"
        );
        let pool = self.fleet.pools.entry(offer.key.clone()).or_default();
        if pool.last_decision != Some(decision) {
            pool.last_decision = Some(decision);
            tracing::info!(
                pool = %offer.key,
                little = decision.littles_law_target,
                trend = decision.forecast_target,
                drain = decision.drain_target,
                target = decision.target,
                reason = ?decision.reason,
                machines = inventory.machines,
                busy = inventory.busy,
                pending = demand.pending,
                "scaling decision"
            );
        }
        decision
    }

    fn measure_load(
        &mut self,
        offer: &PoolOffer,
        demand: &Demand,
        inventory: &PoolInventory,
        parameters: &ScalingParameters,
        now: f64,
    ) -> PoolLoad {
        let since = self.elected_at;
        let min_task_s = self.fleet.heartbeat_interval_s / 5.0;
        let pool = self.fleet.pools.entry(offer.key.clone()).or_default();
        pool.starts.trim(parameters.window_s, now);
        pool.finishes.trim(parameters.window_s, now);
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
            .max(min_task_s);
        let events_per_s = pool.starts.rate(parameters.window_s, since, now)
            + pool.finishes.rate(parameters.window_s, since, now);
        let rate = if events_per_s > 0.0 && inventory.busy > 0 {
            events_per_s / f64::from(inventory.busy)
        } else {
            per_machine / task_s
        };
        PoolLoad {
            pending: demand.pending,
            oldest_s: demand.oldest_s,
            rate,
            forecast: pool.starts.forecast(parameters.window_s, since, now),
            task_s,
            per_machine,
            service_machines: inventory.service_usage.dominant_share(&offer.resources()),
            busy: inventory.busy,
            headroom_machines: inventory.headroom_machines,
            machines_to_fill: inventory.machines_to_fill,
        }
    }

    /// Requests the instances that a pool lacks, unless the pool is blocked or instances from an earlier request are
    /// still being provisioned. While all workers are out of contact, few are requested in a round: a partition may be
    /// the cause, and then new instances would be out of contact too.
    pub(super) fn scale_out_pool(
        &mut self,
        offer: &PoolOffer,
        demand: &Demand,
        inventory: &PoolInventory,
        decision: ScalingDecision,
    ) {
        let mut missing = decision.target.saturating_sub(inventory.machines);
        if self.has_lost_all_workers() {
            missing = missing.min(MAX_INSTANCES_WITHOUT_CONTACT);
        }
        if missing > 0 && !offer.blocked && inventory.provisioning == 0 {
            self.scale_out(&offer.key, demand.priority, missing);
        }
    }

    /// Returns the workers to release from a pool that has more instances than its target. Only workers that have
    /// been idle for longer than the cooldown are returned, those idle for longest first. None are returned while the
    /// pool's zone is partitioned, or was until recently.
    pub(super) fn surplus_workers(
        &self,
        offer: &PoolOffer,
        inventory: &PoolInventory,
        parameters: &ScalingParameters,
        decision: ScalingDecision,
        now: f64,
    ) -> Vec<String> {
        let surplus = inventory.machines.saturating_sub(decision.target) as usize;
        // Workers of a partitioned zone may be idle only because the leader can't reach them.
        let partitioned = self.fleet.was_partitioned(&offer.key.zone);
        let mut idle: Vec<&Worker> = self
            .workers
            .iter()
            .filter(|worker| {
                !partitioned
                    && offer.key.contains(worker)
                    && worker.last_heartbeat_at.is_some()
                    && worker.bindings.is_empty()
                    && self.counts_as_capacity(worker, now)
                    && now - worker.idle_since > parameters.cooldown_s
            })
            .collect();
        idle.sort_by(|a, b| a.idle_since.total_cmp(&b.idle_since));
        let names: Vec<String> = idle
            .into_iter()
            .take(surplus)
            .map(|worker| worker.name.clone())
            .collect();
        if !names.is_empty() {
            tracing::info!(pool = %offer.key, count = names.len(), target = decision.target, "scale-in of idle workers");
        }
        names
    }
}
