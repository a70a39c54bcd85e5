//! Consolidation: moves the replicas of a sparsely used worker to other workers, so that it can be released.

use super::Leader;
use crate::bookkeeping::workers::{Eviction, EvictionReason, Resources, Worker};

/// A worker is sparsely used if its replicas request at most this share of it.
const MAX_SPARSE_SHARE: f64 = 0.5;

impl Leader {
    /// Drains the least used on-demand worker of a zone among those on which all tasks are running replicas, if it is
    /// sparsely used and the zone's other on-demand workers in use have room for its replicas and for
    /// `headroom_replicas` more. `request` is what one replica requests on average.
    pub(super) fn consolidate(
        &mut self,
        zone: &str,
        headroom_replicas: u32,
        request: &Resources,
        now: f64,
    ) {
        let capacity = |worker: &Worker| {
            let instance_type = self
                .instance_types
                .iter()
                .find(|candidate| candidate.name == worker.instance_type);
            instance_type.map(Resources::from).unwrap_or_default()
        };
        let is_candidate =
            |worker: &&Worker| worker.is_schedulable() && !worker.spot && worker.zone == zone;
        let in_use = || {
            self.workers
                .iter()
                .filter(is_candidate)
                .filter(|worker| !worker.bindings.is_empty())
        };
        let room = |worker: &Worker| (capacity(worker) - worker.allocated()).count_fitting(request);
        let free: u32 = in_use().map(room).sum();
        let only_steady_replicas = |worker: &Worker| {
            worker.bindings.iter().all(|(task, binding)| {
                let is_replica = self.jobs.get(&task.job).is_some_and(|job| job.is_service());
                is_replica && binding.running_since.is_some() && binding.eviction.is_none()
            })
        };
        let sparsest = in_use()
            .filter(|worker| only_steady_replicas(worker))
            .map(|worker| (worker.allocated().dominant_share(&capacity(worker)), worker))
            .filter(|(share, _)| *share <= MAX_SPARSE_SHARE)
            .min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, worker)) = sparsest else { return };
        let moved = worker.bindings.len() as u32;
        if free.saturating_sub(room(worker)) < headroom_replicas + moved {
            return;
        }
        let name = worker.name.clone();
        // `moved` is the number of tasks that are evicted now, and that will later be bound to other workers.
        tracing::info!(worker = name, moved, "consolidation started");
        if let Some(worker) = self.workers.get_mut(&name) {
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
            self.dispatcher.mark_due(&name);
        }
    }
}
