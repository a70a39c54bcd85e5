//! Capacity of the workers during a scheduling cycle.

use super::preemption::PreemptionCandidate;
use crate::bookkeeping::workers::{Resources, Worker, Workers};
use crate::protocol::cloud::InstanceType;
use crate::protocol::job::JobSpec;
use std::collections::HashMap;

/// The resources that one task of a job requests.
pub fn resource_request(spec: &JobSpec) -> Resources {
    Resources {
        cpus: spec.cpus,
        gpus: spec.gpus,
        ram_gb: spec.ram_gb,
    }
}

/// The zones seen in a cycle, numbered in order of appearance.
#[derive(Debug, Default)]
pub(super) struct ZoneIndex<'a> {
    names: Vec<&'a str>,
}

impl<'a> ZoneIndex<'a> {
    /// The number of a zone; a zone not seen before gets the next one.
    pub(super) fn number_of(&mut self, zone: &'a str) -> usize {
        match self.names.iter().position(|known| *known == zone) {
            Some(number) => number,
            None => {
                self.names.push(zone);
                self.names.len() - 1
            }
        }
    }

    /// How many zones are known.
    pub(super) fn len(&self) -> usize {
        self.names.len()
    }
}

/// A schedulable worker with the capacity that is left on it at this point of the cycle.
pub(super) struct WorkerCapacity<'a> {
    pub(super) worker: &'a Worker,
    /// Number of its zone in the cycle's [`ZoneIndex`].
    pub(super) zone: usize,
    pub(super) total: Resources,
    /// Rate at which it pulls images, in GB per second.
    pub(super) image_pull_gb_per_s: f64,
    pub(super) free: Resources,
    /// Resources that tasks being stopped will release, less what is already promised to others.
    pub(super) releasing: Resources,
    /// Its tasks that may be preempted; listed when first needed.
    pub(super) preemptible: Option<Vec<PreemptionCandidate<'a>>>,
}

impl WorkerCapacity<'_> {
    /// What will be free once the tasks being stopped are gone.
    pub(super) fn free_after_release(&self) -> Resources {
        self.free + self.releasing
    }

    /// Whether the worker has an image in its cache.
    pub(super) fn has_image(&self, image: &str) -> bool {
        self.worker
            .cached_images
            .iter()
            .any(|cached| cached == image)
    }
}

/// The capacity of all workers that may take tasks. Workers of unknown instance types take none.
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
        .filter(|worker| worker.is_schedulable() && !worker.failures.is_cordoned())
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
