//! Consolidation: moves the replicas of a sparsely used worker to other workers, so that it can be released.

use super::Leader;
use crate::bookkeeping::workers::{Eviction, EvictionReason, Resources, Worker};
use crate::protocol::job::JobSpec;

/// A worker is sparsely used if its replicas request at most this share of it.
const MAX_SPARSE_SHARE: f64 = 0.5;

/// A worker that replicas may be moved to, and the capacity left on it.
struct Destination<'a> {
    worker: &'a Worker,
    free: Resources,
}

impl Leader {
    /// Drains the least used on-demand worker of a zone among those on which all tasks are running replicas, if it is
    /// sparsely used and the zone's other on-demand workers in use have room for each of its replicas, and then for
    /// `headroom_replicas` more. `request` is what one replica requests on average.
    pub(super) fn consolidate(
        &mut self,
        zone: &str,
        headroom_replicas: u32,
        request: &Resources,
        now: f64,
    ) {
        let Some(worker) = self.sparsest_worker(zone) else {
            return;
        };
        let Some(destinations) = self.fit_replicas_elsewhere(worker) else {
            return;
        };
        let headroom: u32 = destinations
            .iter()
            .map(|destination| destination.free.count_fitting(request))
            .sum();
        if headroom >= headroom_replicas {
            let name = worker.name.clone();
            self.drain(&name, now);
        }
    }

    /// Returns the on-demand workers of a zone that can take tasks and that tasks are bound to.
    fn workers_in_use<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a Worker> {
        self.workers.iter().filter(move |worker| {
            !worker.spot
                && worker.zone == zone
                && !worker.bindings.is_empty()
                && worker.is_schedulable()
        })
    }

    /// Returns all resources of a worker; none if its instance type is not known.
    fn capacity(&self, worker: &Worker) -> Resources {
        self.instance_type(&worker.instance_type)
            .map(Resources::from)
            .unwrap_or_default()
    }

    /// Returns the least used of a zone's workers on which all tasks are running replicas, if it is sparsely used.
    fn sparsest_worker<'a>(&'a self, zone: &'a str) -> Option<&'a Worker> {
        self.workers_in_use(zone)
            .filter(|worker| self.has_only_steady_replicas(worker))
            .map(|worker| {
                let share = worker.allocated().dominant_share(&self.capacity(worker));
                (share, worker)
            })
            .filter(|(share, _)| *share <= MAX_SPARSE_SHARE)
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, worker)| worker)
    }

    /// Whether all tasks of a worker are replicas that run and are not being evicted.
    fn has_only_steady_replicas(&self, worker: &Worker) -> bool {
        worker.bindings.iter().all(|(task, binding)| {
            let is_replica = self.jobs.get(&task.job).is_some_and(|job| job.is_service());
            is_replica && binding.running_since.is_some() && binding.eviction.is_none()
        })
    }

    /// Fits each replica of a worker onto the other workers in use in its zone, the largest first. Returns these
    /// workers with the capacity that is left then; `None` if a replica fits onto none of them.
    fn fit_replicas_elsewhere<'a>(&'a self, worker: &'a Worker) -> Option<Vec<Destination<'a>>> {
        let mut destinations: Vec<Destination> = self
            .workers_in_use(&worker.zone)
            .filter(|other| other.name != worker.name)
            .map(|other| Destination {
                worker: other,
                free: self.capacity(other) - other.allocated(),
            })
            .collect();
        for (spec, request) in self.replicas_by_size(worker) {
            let destination = destinations.iter_mut().find(|destination| {
                let Worker {
                    instance_type,
                    zone,
                    spot,
                    ..
                } = destination.worker;
                destination.free.fits(&request) && spec.allows(instance_type, zone, *spot)
            })?;
            destination.free -= request;
        }
        Some(destinations)
    }

    /// Returns the replicas on a worker with what they request, the largest first.
    fn replicas_by_size<'a>(&'a self, worker: &'a Worker) -> Vec<(&'a JobSpec, Resources)> {
        let capacity = self.capacity(worker);
        let mut replicas: Vec<(&JobSpec, Resources)> = worker
            .bindings
            .iter()
            .filter_map(|(task, binding)| {
                let job = self.jobs.get(&task.job)?;
                Some((&job.spec, binding.request))
            })
            .collect();
        let share = |request: &Resources| request.dominant_share(&capacity);
        replicas.sort_by(|(_, a), (_, b)| share(b).total_cmp(&share(a)));
        replicas
    }

    /// Evicts all replicas of a worker, and places no other task on it meanwhile.
    fn drain(&mut self, name: &str, now: f64) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        // `moved` is the number of tasks that are evicted now, and that will later be bound to other workers.
        let moved = worker.bindings.len();
        tracing::info!(worker = name, moved, "consolidation started");
        worker.draining_since = Some(now);
        for (task, binding) in &mut worker.bindings {
            let checkpoint_grace_s = self
                .jobs
                .get(&task.job)
                .map_or(0.0, |job| job.spec.checkpoint_grace_s);
            binding.eviction = Some(Eviction {
                grace_s: checkpoint_grace_s,
                reason: EvictionReason::Drained,
            });
        }
        self.dispatcher.mark_due(name);
    }
}
