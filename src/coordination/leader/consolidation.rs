//! Replicas moved together, so that a machine that few are left on can be given back.

use super::Leader;
use crate::bookkeeping::hosts::{HaltReason, Host, Room};

/// Share of a machine that its replicas take at most if they are moved.
const SPARSE: f64 = 0.5;

impl Leader {
    /// Empties one sparsely used ordinary machine of a zone, if its replicas find room on others
    /// beside the `keep` replicas to come for which room is kept there.
    pub(super) fn pack(&mut self, zone: &str, keep: u32, need: &Room) {
        for host in self.hosts.iter_mut() {
            host.draining &= !host.bindings.is_empty();
        }
        let whole = |host: &Host| {
            let flavor = self.flavors.iter().find(|f| f.name == host.flavor);
            flavor.map(Room::of_flavor).unwrap_or_default()
        };
        let here = |host: &&Host| host.usable() && !host.spot && host.zone == zone;
        let in_use = || {
            self.hosts
                .iter()
                .filter(here)
                .filter(|host| !host.bindings.is_empty())
        };
        let room = |host: &Host| whole(host).minus(&host.used()).count(need);
        let free: u32 = in_use().map(room).sum();
        let settled = |host: &Host| {
            host.bindings.iter().all(|(task, binding)| {
                let standing = self.jobs.get(&task.job).is_some_and(|job| job.standing());
                standing && binding.running.is_some() && binding.halt.is_none()
            })
        };
        let sparse = in_use()
            .filter(|host| settled(host))
            .map(|host| (host.used().share_of(&whole(host)), host))
            .filter(|(share, _)| *share <= SPARSE)
            .min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, host)) = sparse else { return };
        let moved = host.bindings.len() as u32;
        if free.saturating_sub(room(host)) < keep + moved {
            return;
        }
        let name = host.name.clone();
        tracing::info!(host = name, moved, "moving replicas together");
        if let Some(host) = self.hosts.get_mut(&name) {
            host.draining = true;
            for (task, binding) in &mut host.bindings {
                let flush_s = self.jobs.get(&task.job).map_or(0.0, |job| job.spec.checkpoint_grace_s);
                binding.halt = Some((flush_s, HaltReason::Drained));
            }
            self.push_due.insert(name);
        }
    }
}
