//! Ends bindings whose tasks have stopped because their worker's lease has expired or its incarnation has ended, and
//! removes bindings from the tables once their end is committed or their worker's instance is deleted. A worker stops
//! all its tasks when its incarnation ends.

use super::Leader;
use crate::bookkeeping::invariants::{self, Invariant};
use crate::bookkeeping::workers::Binding;
use crate::protocol::worker::TaskId;

impl Leader {
    /// Ends the bindings of workers whose lease has certainly expired: such a worker has stopped all its tasks.
    pub(super) fn expire_worker_leases(&mut self, now: f64) {
        let expired: Vec<String> = self
            .workers
            .iter()
            .filter(|worker| worker.bindings.values().any(|binding| !binding.unbinding))
            .filter(|worker| now > self.leases.expires_at(worker))
            .map(|worker| worker.name.clone())
            .collect();
        for name in expired {
            tracing::info!(worker = name, "worker lease expired");
            if let Some(worker) = self.workers.get_mut(&name) {
                worker.token_acknowledged = false;
                worker.observed_tasks.clear();
                worker.pending_starts.clear_for_new_incarnation();
            }
            self.end_lost_bindings(&name, |_| true);
        }
    }

    /// Ends those bindings of a worker that `is_lost` selects. Their tasks must certainly no longer be on the worker.
    pub(super) fn end_lost_bindings(&mut self, name: &str, is_lost: impl Fn(&Binding) -> bool) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let lost: Vec<(TaskId, u64)> = worker
            .bindings
            .iter()
            .filter(|(_, binding)| !binding.unbinding && is_lost(binding))
            .map(|(task, binding)| (task.clone(), binding.attempt))
            .collect();
        for (task, attempt) in lost {
            tracing::debug!(worker = name, %task, attempt, "binding lost");
            self.end_binding(name, &task, attempt, false);
        }
    }

    /// Removes a binding from the tables, after its end is committed or its worker's instance is deleted.
    pub(super) fn drop_binding(&mut self, name: &str, task: &TaskId, attempt: u64, now: f64) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker
            .bindings
            .get(task)
            .is_none_or(|binding| binding.attempt != attempt)
        {
            return;
        }
        if let Some(binding) = worker.bindings.remove(task) {
            self.quotas
                .release(&binding.team, binding.request.cpus, binding.request.gpus);
            if worker.bindings.is_empty() {
                worker.idle_since = now;
            }
            if let Some(job) = self.jobs.get_mut(&task.job) {
                let was_known = job.unbind(task.index, name, &worker.zone, now);
                let details = format_args!("worker {name}, task {task}, attempt {attempt}");
                // The result is ignored: the binding is removed already, and a job that did not know the binding has
                // no counts to correct.
                let _ = invariants::check(Invariant::NoBindingUnknownToItsJob, was_known, details);
            }
            self.scheduling.request();
            self.dispatcher.mark_due(name);
        }
    }

    /// Removes from the tables all bindings of a worker whose instance is deleted.
    pub(super) fn drop_all_bindings(&mut self, name: &str, now: f64) {
        let bound: Vec<(TaskId, u64)> = self
            .workers
            .get(name)
            .into_iter()
            .flat_map(|worker| &worker.bindings)
            .map(|(task, binding)| (task.clone(), binding.attempt))
            .collect();
        for (task, attempt) in bound {
            self.drop_binding(name, &task, attempt, now);
        }
    }
}
