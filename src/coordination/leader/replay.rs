//! Replay: rebuilds the tables of workers and bindings, and the completed tasks of jobs, from the write-ahead log
//! during recovery. The log consists of segments, one for each transaction.

use super::Leader;
use super::recovery::RecoveredSegment;
use crate::bookkeeping::wal::{
    BindingEntry, CompletedEntry, EndedBindingEntry, Segment, decode_chunk,
};
use crate::bookkeeping::workers::{Binding, Worker};
use crate::protocol::worker::TaskId;

impl Leader {
    /// Replays the log's segments, which must be in the log's order.
    pub(super) fn replay_log(&mut self, segments: &[RecoveredSegment], now: f64) {
        // The entry that describes a worker may be in a later segment than those of its bindings.
        for recovered in segments {
            self.replay_workers(&recovered.segment, now);
        }
        for recovered in segments {
            self.commits
                .replay_segment(&recovered.key, recovered.mod_revision, &recovered.segment);
            self.replay_bindings(&recovered.segment);
        }
    }

    /// Adds the workers that a segment describes to the table, or updates them.
    fn replay_workers(&mut self, segment: &Segment, now: f64) {
        // An earlier leader may renew worker leases until its lease grace period has ended.
        let previous_leader_deadline = self.leases.previous_leader_deadline();
        for entry in &segment.workers {
            let Some(name) = segment.worker_name(entry.worker) else {
                continue;
            };
            let worker = self.workers.get_or_insert_with(name, || {
                let mut worker =
                    Worker::new(name, &entry.instance_type, &entry.zone, entry.spot, now);
                worker.lease_renewed_at = previous_leader_deadline;
                worker
            });
            worker.endpoint.clone_from(&entry.endpoint);
            worker.terminating |= entry.terminating;
            worker.termination_recorded |= entry.terminating;
        }
    }

    /// Replays a segment's new bindings, then its ended bindings, removed workers and completed tasks, which is the
    /// order in which the entries of a segment take effect.
    fn replay_bindings(&mut self, segment: &Segment) {
        for entry in &segment.bindings {
            self.replay_binding(segment, entry);
        }
        for entry in &segment.ended_bindings {
            self.replay_ended_binding(segment, entry);
        }
        for number in &segment.removed_workers {
            if let Some(name) = segment.worker_name(*number) {
                self.workers.remove(name);
            }
        }
        for entry in &segment.completed {
            self.replay_completed_tasks(segment, entry);
        }
    }

    fn replay_binding(&mut self, segment: &Segment, entry: &BindingEntry) {
        let worker = segment
            .worker_name(entry.worker)
            .and_then(|name| self.workers.get_mut(name));
        let (Some(worker), Some(job)) = (worker, segment.job(entry.job)) else {
            return;
        };
        let binding = Binding {
            attempt: entry.attempt,
            incarnation: entry.incarnation,
            request: job.request(),
            team: job.team.clone(),
            durable: true,
            inherited: true,
            unbinding: false,
            eviction: None,
            running_since: None,
        };
        let task = TaskId {
            job: job.id.clone(),
            index: entry.index,
        };
        worker.has_been_up = true;
        worker.bindings.insert(task, binding);
    }

    fn replay_ended_binding(&mut self, segment: &Segment, entry: &EndedBindingEntry) {
        let worker = segment
            .worker_name(entry.worker)
            .and_then(|name| self.workers.get_mut(name));
        let (Some(worker), Some(job)) = (worker, segment.job(entry.job)) else {
            return;
        };
        let task = TaskId {
            job: job.id.clone(),
            index: entry.index,
        };
        let bound = worker.bindings.get(&task);
        if bound.is_some_and(|binding| binding.attempt == entry.attempt) {
            worker.bindings.remove(&task);
        }
    }

    fn replay_completed_tasks(&mut self, segment: &Segment, entry: &CompletedEntry) {
        let job = segment
            .job(entry.job)
            .and_then(|job| self.jobs.get_mut(&job.id));
        if let Some(job) = job {
            for index in decode_chunk(entry.chunk, &entry.bitmap) {
                job.complete(index);
            }
        }
    }

    /// Counts the replayed bindings in their jobs and in the teams' quotas, and marks all workers as due for a direct
    /// call.
    pub(super) fn charge_inherited_bindings(&mut self) {
        for worker in self.workers.iter() {
            for (task, binding) in &worker.bindings {
                let request = binding.request;
                self.quotas
                    .charge(&binding.team, request.cpus, request.gpus);
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.bind(task.index, &worker.name, &worker.zone);
                }
            }
            self.dispatcher.mark_due(&worker.name);
        }
    }

    /// Queues the end of the jobs whose tasks are all recorded as completed, but whose end is not recorded.
    pub(super) fn finish_completed_jobs(&mut self) {
        let complete: Vec<String> = self
            .jobs
            .iter()
            .filter(|job| job.is_complete() && !job.finishing)
            .map(|job| job.spec.id.clone())
            .collect();
        for id in complete {
            self.finish_job(&id);
        }
    }
}
