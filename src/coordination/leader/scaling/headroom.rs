//! Headroom: spare capacity that is kept in each zone for future replicas.

use super::demand::DemandFit;
use super::pool::{PoolInventory, PoolOffer};
use crate::bookkeeping::workers::Resources;
use crate::coordination::leader::Leader;
use crate::coordination::scheduler;
use crate::policy::ScalingParameters;

/// The headroom of a zone.
pub(super) struct Headroom {
    /// Number of replicas for which capacity is kept.
    pub(super) replicas: u32,
    /// What a replica requests on average.
    pub(super) request: Resources,
}

/// The replicas of a zone.
struct ZoneReplicas {
    /// Number of replicas that are bound in the zone, plus an equal share for each zone of the replicas that may be
    /// placed now.
    count: f64,
    /// What a replica requests on average.
    request: Resources,
}

impl Leader {
    /// Returns the headroom of a zone; `None` if the zone has no replicas, bound or pending.
    pub(super) fn headroom(
        &self,
        offers: &[PoolOffer],
        parameters: &[ScalingParameters],
        zone: &str,
    ) -> Option<Headroom> {
        let share = offers
            .iter()
            .zip(parameters)
            .filter(|(offer, _)| !offer.key.spot && offer.key.zone == zone)
            .map(|(_, parameters)| parameters.headroom)
            .fold(0.0, f64::max);
        let replicas = self.zone_replicas(zone)?;
        Some(Headroom {
            replicas: (share * replicas.count).ceil() as u32,
            request: replicas.request,
        })
    }

    fn zone_replicas(&self, zone: &str) -> Option<ZoneReplicas> {
        let zones = self.settings.deployment.zones.len() as f64;
        let mut count = 0.0;
        let mut sum = Resources::default();
        for job in self.jobs.iter().filter(|job| job.is_service()) {
            let bound = f64::from(job.bound_per_zone().get(zone).copied().unwrap_or(0));
            let in_zone = bound + f64::from(job.startable_count()) / zones;
            count += in_zone;
            sum += scheduler::resource_request(&job.spec) * in_zone;
        }
        (count > 0.0).then(|| ZoneReplicas {
            count,
            request: sum * (1.0 / count),
        })
    }

    /// Returns the number of instances in each pool that are kept as headroom, beyond the workers in use. A zone's
    /// headroom may be kept in any of its on-demand pools.
    pub(super) fn headroom_machines(
        &self,
        offers: &[PoolOffer],
        fit: &DemandFit,
        inventories: &[PoolInventory],
        parameters: &[ScalingParameters],
    ) -> Vec<u32> {
        let mut kept = vec![0; offers.len()];
        for zone in &self.settings.deployment.zones {
            let Some(headroom) = self.headroom(offers, parameters, zone) else {
                continue;
            };
            let request = &headroom.request;
            let mut missing = self.replicas_beyond_workers(offers, &headroom, zone);
            let pools: Vec<usize> = (0..offers.len())
                .filter(|i| !offers[*i].key.spot && offers[*i].key.zone == *zone)
                .collect();
            // First, idle instances are kept, and instances being provisioned or booting that no pending task was
            // fitted onto.
            for i in &pools {
                let fitting = offers[*i].resources().count_fitting(request);
                let unused = inventories[*i].idle + fit.unused_bins(*i);
                while fitting > 0 && missing >= fitting && kept[*i] < unused {
                    kept[*i] += 1;
                    missing -= fitting;
                }
            }
            // The instances for the remaining replicas are counted for the cheapest pool that is not blocked; the
            // offers are in the order of their price per CPU.
            for i in &pools {
                let fitting = offers[*i].resources().count_fitting(request);
                if fitting > 0 && !offers[*i].blocked {
                    // The number of instances is rounded down: in a small zone, another instance for the remaining
                    // replicas would be expensive.
                    kept[*i] += missing / fitting;
                    missing = 0;
                }
            }
        }
        kept
    }

    /// Returns how many of the headroom's replicas don't fit onto the on-demand workers in use. Capacity that other
    /// tasks than replicas use counts as free, since those tasks can be preempted.
    fn replicas_beyond_workers(
        &self,
        offers: &[PoolOffer],
        headroom: &Headroom,
        zone: &str,
    ) -> u32 {
        let mut missing = headroom.replicas;
        for worker in self.workers.iter() {
            let in_use = worker.is_schedulable() && !worker.spot && !worker.bindings.is_empty();
            if !in_use || worker.zone != zone {
                continue;
            }
            if let Some(offer) = offers.iter().find(|offer| offer.key.contains(worker)) {
                let free = offer.resources() - self.service_usage(worker);
                missing = missing.saturating_sub(free.count_fitting(&headroom.request));
            }
        }
        missing
    }
}
