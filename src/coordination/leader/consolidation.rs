//! Replicas moved together, so that a machine that few are left on can be given back.

use super::Leader;
use crate::bookkeeping::workers::{EvictionReason, Resources, Worker};

/// Share of a machine that its replicas take at most if they are moved.
const SPARSE: f64 = 0.5;

impl Leader {
    /// Empties one sparsely used ordinary machine of a zone, if its replicas find room on others
    /// beside the `keep` replicas to come for which room is kept there.
    pub(super) fn consolidate(&mut self, zone: &str, keep: u32, need: &Resources) {
        for host in self.workers.iter_mut() {
            host.draining &= !host.bindings.is_empty();
        }
        let whole = |host: &Worker| {
            let flavor = self.instance_types.iter().find(|f| f.name == host.instance_type);
            flavor.map(Resources::of_instance_type).unwrap_or_default()
        };
        let here = |host: &&Worker| host.is_schedulable() && !host.spot && host.zone == zone;
        let in_use = || {
            self.workers
                .iter()
                .filter(here)
                .filter(|host| !host.bindings.is_empty())
        };
        let room = |host: &Worker| whole(host).minus(&host.allocated()).count_fitting(need);
        let free: u32 = in_use().map(room).sum();
        let settled = |host: &Worker| {
            host.bindings.iter().all(|(task, binding)| {
                let standing = self.jobs.get(&task.job).is_some_and(|job| job.is_service());
                standing && binding.running_since.is_some() && binding.eviction.is_none()
            })
        };
        let sparse = in_use()
            .filter(|host| settled(host))
            .map(|host| (host.allocated().dominant_share(&whole(host)), host))
            .filter(|(share, _)| *share <= SPARSE)
            .min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, host)) = sparse else { return };
        let moved = host.bindings.len() as u32;
        if free.saturating_sub(room(host)) < keep + moved {
            return;
        }
        let name = host.name.clone();
        tracing::info!(host = name, moved, "moving replicas together");
        if let Some(host) = self.workers.get_mut(&name) {
            host.draining = true;
            for (task, binding) in &mut host.bindings {
                let flush_s = self
                    .jobs
                    .get(&task.job)
                    .map_or(0.0, |job| job.spec.checkpoint_grace_s);
                binding.eviction = Some((flush_s, EvictionReason::Drained));
            }
            self.dispatch_due.insert(name);
        }
    }
}
