//! The free capacity of each worker, as it changes during a scheduling cycle.

use super::preemption::PreemptionCandidate;
use crate::bookkeeping::workers::{Resources, Worker, Workers};
use crate::protocol::cloud::InstanceType;
use crate::protocol::job::JobSpec;
use std::collections::HashMap;

/// Returns the resources that one task of a job requests.
pub fn resource_request(spec: &JobSpec) -> Resources {
    Resources {
        cpus: spec.cpus,
        gpus: spec.gpus,
        ram_gb: spec.ram_gb,
    }
}

/// Maps the names of zones to consecutive numbers, which a cycle uses as indices.
#[derive(Debug, Default)]
pub(super) struct ZoneIndex<'a> {
    names: Vec<&'a str>,
}

impl<'a> ZoneIndex<'a> {
    /// Returns the number of a zone. A zone that is not in the index yet is added with the next number.
    pub(super) fn number_of(&mut self, zone: &'a str) -> usize {
        match self.names.iter().position(|name| *name == zone) {
            Some(number) => number,
            None => {
                self.names.push(zone);
                self.names.len() - 1
            }
        }
    }

    /// Returns the number of zones in the index.
    pub(super) fn len(&self) -> usize {
        self.names.len()
    }
}

/// A schedulable worker, and the part of its capacity that the cycle has not assigned yet.
pub(super) struct WorkerCapacity<'a> {
    pub(super) worker: &'a Worker,
    /// Number of the worker's zone in the cycle's [`ZoneIndex`].
    pub(super) zone: usize,
    /// All resources of the worker, free or not.
    pub(super) total: Resources,
    /// Rate at which the worker pulls images, in GB per second.
    pub(super) image_pull_gb_per_s: f64,
    /// Resources that no bound task takes and this cycle has not reserved. A reservation for a starving job may make
    /// amounts negative.
    pub(super) free: Resources,
    /// Resources that tasks being stopped will release, minus all resources that this cycle has claimed for other
    /// tasks. An amount is negative if a claim also needs resources that are free already.
    pub(super) releasing: Resources,
    /// The worker's bound tasks that are not being stopped; `None` until the list is first needed.
    pub(super) preemptible: Option<Vec<PreemptionCandidate<'a>>>,
}

impl WorkerCapacity<'_> {
    /// Returns the resources that will be free once the tasks being stopped have exited, without those that this cycle
    /// has claimed.
    pub(super) fn free_after_release(&self) -> Resources {
        self.free + self.releasing
    }

    /// Returns whether the worker probably has an image in its cache.
    pub(super) fn has_image(&self, image: &str) -> bool {
        self.worker
            .cached_images
            .iter()
            .any(|cached| cached == image)
    }
}

/// Returns the capacity of all schedulable workers, except those whose instance type is unknown.
pub(super) fn worker_capacities<'a>(
    workers: &'a Workers,
    instance_types: &[InstanceType],
    zones: &mut ZoneIndex<'a>,
) -> Vec<WorkerCapacity<'a>> {
    let by_name: HashMap<&str, &InstanceType> = instance_types
        .iter()
        .map(|instance_type| (instance_type.name.as_str(), instance_type))
        .collect();
    workers
        .iter()
        .filter(|worker| worker.is_schedulable())
        .filter_map(|worker| {
            let instance_type = by_name.get(worker.instance_type.as_str())?;
            let total = Resources::from(*instance_type);
            Some(WorkerCapacity {
                worker,
                zone: zones.number_of(&worker.zone),
                total,
                image_pull_gb_per_s: instance_type.image_pull_gb_per_s,
                free: total - worker.allocated(),
                releasing: worker.releasing(),
                preemptible: None,
            })
        })
        .collect()
}
