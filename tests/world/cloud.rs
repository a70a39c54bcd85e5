//! The cloud.

use super::*;

impl World {
    /// A machine is gone, with all that is on it.
    pub(super) fn remove_instance(&mut self, name: &str) {
        self.instances.remove(name);
        self.workers.remove(name);
    }

    pub(super) fn on_cloud_request(&mut self, call: &CloudRequest) -> CloudResponse {
        match call {
            CloudRequest::ListInstanceTypes => CloudResponse::InstanceTypes(vec![InstanceType {
                name: "f".into(),
                cpus: 8.0,
                gpus: 0.0,
                ram_gb: 32.0,
                image_cache_gb: 10.0,
                image_pull_gb_per_s: 1.0,
                on_demand_price: 1.0,
                spot_price: Some(0.3),
                boot_time_s: 5.0,
                zones: vec!["a".into(), "b".into()],
            }]),
            CloudRequest::CreateInstances(rental) => {
                if let Some(names) = self.created_by_key.get(&rental.idempotency_key) {
                    return CloudResponse::Created(names.clone());
                }
                let alike = |m: &&Instance| m.zone == rental.zone && m.spot == rental.spot;
                let there = self.instances.values().filter(alike).count() as u32;
                let count = rental
                    .count
                    .min(self.instances_per_pool.saturating_sub(there));
                if count == 0 {
                    return CloudResponse::InsufficientCapacity;
                }
                let mut names = Vec::new();
                for _ in 0..count {
                    let name = format!("host-{:06}", self.next_instance_number);
                    self.next_instance_number += 1;
                    self.instances.insert(
                        name.clone(),
                        Instance {
                            name: name.clone(),
                            endpoint: name.clone(),
                            instance_type: rental.instance_type.clone(),
                            zone: rental.zone.clone(),
                            spot: rental.spot,
                            status: InstanceStatus::Starting,
                            age_s: self.now,
                        },
                    );
                    let usual = 3.0 + self.rng.random::<f64>() * 4.0;
                    let chance = if self.faults.instant_boots + self.faults.failed_boots > 0.0 {
                        self.rng.random::<f64>()
                    } else {
                        1.0
                    };
                    if chance < self.faults.failed_boots {
                        self.counts.failed_boots += 1;
                    } else if chance < self.faults.failed_boots + self.faults.instant_boots {
                        self.counts.instant_boots += 1;
                        self.schedule_after(0.01, SimEvent::WorkerRuns(name.clone()));
                    } else {
                        self.schedule_after(usual, SimEvent::WorkerRuns(name.clone()));
                    }
                    names.push(name);
                }
                self.created_by_key
                    .insert(rental.idempotency_key.clone(), names.clone());
                CloudResponse::Created(names)
            }
            CloudRequest::DeleteInstances(names) => {
                for name in names {
                    let busy = |w: &Worker| w.running().next().is_some();
                    if self.workers.get(name).is_some_and(busy) {
                        self.deleted_while_busy.push(name.clone());
                    }
                    self.remove_instance(name);
                }
                CloudResponse::Deleted
            }
            CloudRequest::ListInstances(from) => {
                let machines = self
                    .instances
                    .values()
                    .filter(|m| from.as_ref().is_none_or(|from| m.name > *from))
                    .map(|m| Instance {
                        age_s: self.now - m.age_s,
                        ..m.clone()
                    })
                    .collect();
                CloudResponse::Page {
                    instances: machines,
                    more: false,
                }
            }
        }
    }

    /// Names of the machines of a zone.
    pub fn instances_in(&self, zone: &str, spot: bool) -> BTreeSet<String> {
        let there = self
            .instances
            .values()
            .filter(|m| m.zone == zone && m.spot == spot);
        there.map(|m| m.name.clone()).collect()
    }

    /// How many machines other than these were deleted while tasks ran on them.
    pub fn deleted_while_busy_except(&self, expected: &[String]) -> usize {
        let others = self.deleted_while_busy.iter();
        others.filter(|name| !expected.contains(name)).count()
    }

    /// How many tasks failed on a machine.
    pub fn failures_on(&self, name: &str) -> u32 {
        self.counts
            .failures_per_worker
            .get(name)
            .copied()
            .unwrap_or(0)
    }

    /// Whether a machine is still rented.
    pub fn has_instance(&self, name: &str) -> bool {
        self.instances.contains_key(name)
    }

    pub fn instance_count(&self) -> usize {
        self.instances.len()
    }
}
