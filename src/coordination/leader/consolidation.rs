//! Replicas moved together, so that a machine that few are left on can be released.

use super::Leader;
use crate::bookkeeping::workers::{Eviction, EvictionReason, Resources, Worker};

/// Share of a machine that its replicas take at most if they are moved.
const SPARSE: f64 = 0.5;

impl Leader {
    /// Empties one sparsely used on-demand machine of a zone, if its replicas find room on others
    /// beside the `keep` replicas to come for which room is kept there.
    pub(super) fn consolidate(&mut self, zone: &str, keep: u32, need: &Resources) {
        for worker in self.workers.iter_mut() {
            worker.draining &= !worker.bindings.is_empty();
        }
        let whole = |worker: &Worker| {
            let instance_type = self
                .instance_types
                .iter()
                .find(|f| f.name == worker.instance_type);
            instance_type.map(Resources::from).unwrap_or_default()
        };
        let here =
            |worker: &&Worker| worker.is_schedulable() && !worker.spot && worker.zone == zone;
        let in_use = || {
            self.workers
                .iter()
                .filter(here)
                .filter(|worker| !worker.bindings.is_empty())
        };
        let room = |worker: &Worker| (whole(worker) - worker.allocated()).count_fitting(need);
        let free: u32 = in_use().map(room).sum();
        let settled = |worker: &Worker| {
            worker.bindings.iter().all(|(task, binding)| {
                let standing = self.jobs.get(&task.job).is_some_and(|job| job.is_service());
                standing && binding.running_since.is_some() && binding.eviction.is_none()
            })
        };
        let sparse = in_use()
            .filter(|worker| settled(worker))
            .map(|worker| (worker.allocated().dominant_share(&whole(worker)), worker))
            .filter(|(share, _)| *share <= SPARSE)
            .min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, worker)) = sparse else { return };
        let moved = worker.bindings.len() as u32;
        if free.saturating_sub(room(worker)) < keep + moved {
            return;
        }
        let name = worker.name.clone();
        tracing::info!(worker = name, moved, "consolidation started");
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.draining = true;
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
