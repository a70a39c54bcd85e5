//! The simulated cloud, with one instance type in four pools: an on-demand pool and a spot pool in each of two zones.

use super::*;

impl World {
    /// Removes an instance and its worker, with all tasks on it.
    pub(super) fn remove_instance(&mut self, name: &str) {
        self.instances.remove(name);
        self.workers.remove(name);
    }

    pub(super) fn on_cloud_request(&mut self, request: &CloudRequest) -> CloudResponse {
        match request {
            CloudRequest::ListInstanceTypes => CloudResponse::InstanceTypes(vec![InstanceType {
                name: "f".into(),
                cpus: 8.0,
                gpus: 0.0,
                ram_gb: 32.0,
                image_cache_gb: 10.0,
                image_pull_gb_per_s: 1.0,
                on_demand_price: 1.0,
                spot_price: Some(0.3),
                boot_time_s: self.listed_boot_time_s,
                zones: vec!["a".into(), "b".into()],
            }]),
            CloudRequest::CreateInstances(request) => {
                if let Some(names) = self.created_by_key.get(&request.idempotency_key) {
                    return CloudResponse::Created(names.clone());
                }
                let in_same_pool = |m: &&Instance| m.zone == request.zone && m.spot == request.spot;
                let existing = self.instances.values().filter(in_same_pool).count() as u32;
                let count = request
                    .count
                    .min(self.instances_per_pool.saturating_sub(existing));
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
                            instance_type: request.instance_type.clone(),
                            zone: request.zone.clone(),
                            spot: request.spot,
                            status: InstanceStatus::Starting,
                            age_s: self.now,
                        },
                    );
                    let boot_s = 3.0 + self.rng.random::<f64>() * 4.0;
                    let draw = if self.faults.instant_boots + self.faults.failed_boots > 0.0 {
                        self.rng.random::<f64>()
                    } else {
                        1.0
                    };
                    if draw < self.faults.failed_boots {
                        self.counts.failed_boots += 1;
                    } else if draw < self.faults.failed_boots + self.faults.instant_boots {
                        self.counts.instant_boots += 1;
                        self.schedule_after(0.01, SimEvent::WorkerRuns(name.clone()));
                    } else {
                        self.schedule_after(boot_s, SimEvent::WorkerRuns(name.clone()));
                    }
                    names.push(name);
                }
                self.created_by_key
                    .insert(request.idempotency_key.clone(), names.clone());
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
            CloudRequest::ListInstances(after) => {
                let instances = self
                    .instances
                    .values()
                    .filter(|m| after.as_ref().is_none_or(|after| m.name > *after))
                    .map(|m| Instance {
                        age_s: self.now - m.age_s,
                        ..m.clone()
                    })
                    .collect();
                CloudResponse::Page {
                    instances,
                    more: false,
                }
            }
        }
    }

    /// Returns the names of a zone's spot instances or, if `spot` is false, of its on-demand instances.
    pub fn instances_in(&self, zone: &str, spot: bool) -> BTreeSet<String> {
        let existing = self
            .instances
            .values()
            .filter(|m| m.zone == zone && m.spot == spot);
        existing.map(|m| m.name.clone()).collect()
    }

    /// Returns the number of instances that were deleted while tasks ran on them, without those listed in `expected`.
    pub fn deleted_while_busy_except(&self, expected: &[String]) -> usize {
        let deleted = self.deleted_while_busy.iter();
        deleted.filter(|name| !expected.contains(name)).count()
    }

    /// Returns the number of tasks that failed on an instance.
    pub fn failures_on(&self, name: &str) -> u32 {
        self.counts
            .failures_per_worker
            .get(name)
            .copied()
            .unwrap_or(0)
    }

    /// Returns whether an instance exists in the cloud.
    pub fn has_instance(&self, name: &str) -> bool {
        self.instances.contains_key(name)
    }

    /// Returns the number of instances that exist in the cloud, running or starting.
    pub fn instance_count(&self) -> usize {
        self.instances.len()
    }
}
