//! Binding reconciliation: compares a worker's bindings with the tasks in its heartbeat, and evicts tasks
//! that can't finish before the cloud reclaims their instance.

use super::Leader;
use crate::bookkeeping::invariants::{self, Invariant};
use crate::bookkeeping::jobs::{Job, Jobs};
use crate::bookkeeping::permits;
use crate::bookkeeping::wal::LogEntry;
use crate::bookkeeping::workers::{Binding, Eviction, EvictionReason, Worker};
use crate::protocol::worker::{ExitReason, TaskId, TaskState};

/// What a heartbeat shows about a bound task.
enum TaskObservation {
    /// The task runs or saves its checkpoint; no earlier heartbeat has shown it in either state.
    Started,
    /// A replica has been running for this number of seconds. Only for services of which replicas have failed since
    /// the last success.
    RunningFor(f64),
    /// The task has exited.
    Exited {
        /// Why it exited.
        reason: ExitReason,
        /// Whether an earlier heartbeat showed it running.
        was_running: bool,
    },
    /// The heartbeat does not list the task, no start command for it can still arrive, and the binding is to end: the
    /// task was evicted, or bound by an earlier leader.
    Absent,
}

/// Returns what the worker's latest heartbeat shows about a task that is bound to it; `None` if the leader need not
/// act on it, in particular while the binding, or its end, is not committed.
fn observe_task(
    worker: &Worker,
    task: &TaskId,
    binding: &Binding,
    jobs: &Jobs,
    now: f64,
) -> Option<TaskObservation> {
    if binding.unbinding || !binding.durable {
        return None;
    }
    let Some(task_status) = worker.observed_task(task, binding.attempt) else {
        let absent = permits::may_unbind_absent(worker, task, binding).is_ok();
        return absent.then_some(TaskObservation::Absent);
    };
    match (task_status.state, binding.running_since) {
        (TaskState::Exited, running_since) => Some(TaskObservation::Exited {
            reason: task_status.exit_reason.unwrap_or(ExitReason::Unknown),
            was_running: running_since.is_some(),
        }),
        (TaskState::Fetching, _) => None,
        (_, None) => Some(TaskObservation::Started),
        (TaskState::Running, Some(since)) => {
            let failing = jobs.get(&task.job).is_some_and(Job::is_failing_service);
            failing.then_some(TaskObservation::RunningFor(now - since))
        }
        _ => None,
    }
}

impl Leader {
    /// Compares a worker's bindings with its latest heartbeat, and acts on the differences.
    pub(super) fn reconcile_bindings(&mut self, name: &str, now: f64) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let observations: Vec<(TaskId, u64, TaskObservation)> = worker
            .bindings
            .iter()
            .filter_map(|(task, binding)| {
                let observation = observe_task(worker, task, binding, &self.jobs, now)?;
                Some((task.clone(), binding.attempt, observation))
            })
            .collect();
        for (task, attempt, observation) in observations {
            match observation {
                TaskObservation::Started => self.on_task_started(name, &task, attempt, now),
                TaskObservation::RunningFor(running_s) => {
                    self.record_steady_replica(name, &task.job, running_s);
                }
                TaskObservation::Absent => self.end_binding(name, &task, attempt, false),
                TaskObservation::Exited {
                    reason,
                    was_running,
                } => self.on_task_exited(name, &task, attempt, reason, was_running, now),
            }
        }
    }

    fn on_task_started(&mut self, name: &str, task: &TaskId, attempt: u64, now: f64) {
        tracing::debug!(worker = name, %task, attempt, "task running");
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if let Some(binding) = worker.bindings.get_mut(task) {
            binding.running_since = Some(now);
        }
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.observe_running(task.index, name);
            worker.remember_image(&job.spec.image);
        }
    }

    /// Queues the end of a binding whose task has exited, or is not on the worker and can't start there any more.
    /// Does nothing if a start command for it may still arrive, which violates an invariant. `completed` marks the
    /// task as complete in the log.
    pub(super) fn end_binding(&mut self, name: &str, task: &TaskId, attempt: u64, completed: bool) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let exited = worker.has_exited(task, attempt);
        let can_end = exited || !worker.pending_starts.may_arrive(task, attempt);
        let details = format_args!("worker {name}, task {task}, attempt {attempt}");
        if !invariants::check(Invariant::NoUnbindWhileStartMayArrive, can_end, details) {
            return;
        }
        if let Some(binding) = worker.bindings.get_mut(task)
            && binding.attempt == attempt
            && !binding.unbinding
        {
            binding.unbinding = true;
            tracing::debug!(worker = name, %task, attempt, exited, "binding ended");
            self.commits.push(LogEntry::Unbind {
                worker: name.to_owned(),
                task: task.clone(),
                attempt,
                completed,
            });
        }
    }

    fn on_task_exited(
        &mut self,
        name: &str,
        task: &TaskId,
        attempt: u64,
        reason: ExitReason,
        was_running: bool,
        now: f64,
    ) {
        tracing::debug!(worker = name, %task, attempt, cause = ?reason, "task exited");
        let mut newly_completed = false;
        match reason {
            ExitReason::Completed => {
                if was_running {
                    self.record_runtime(name, task, now);
                }
                let worker = self.workers.get(name);
                let start_may_arrive =
                    worker.is_some_and(|worker| worker.pending_starts.may_arrive(task, attempt));
                if let Some(job) = self.jobs.get_mut(&task.job).filter(|job| !job.is_service()) {
                    if start_may_arrive {
                        job.workers_with_duplicate_starts.insert(name.to_owned());
                    }
                    newly_completed = job.complete(task.index);
                }
                self.record_success(name, &task.job);
            }
            ExitReason::Failed | ExitReason::UnknownTask | ExitReason::Unknown => {
                self.record_failure(name, task, reason, now);
            }
            ExitReason::Stopped
            | ExitReason::InsufficientResources
            | ExitReason::AttemptConflict => {}
        }
        // The end of the job is queued before the end of the binding. If only the end of the job is written, the log
        // still holds the binding, and the worker's next heartbeat, which shows that the task has exited, makes the
        // leader end the binding.
        if newly_completed {
            self.finish_job(&task.job);
        }
        self.end_binding(name, task, attempt, newly_completed);
    }

    /// Evicts the tasks of a worker that are not expected to finish before the cloud reclaims the instance: replicas,
    /// tasks that do not run yet, and tasks that need longer than the time left. A task gets its checkpoint grace
    /// period if that is not longer than the time left, otherwise none.
    pub(super) fn evict_before_reclaim(&mut self, name: &str, now: f64) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let left_s = worker.reclaim_at.map_or(0.0, |at| at - now);
        for (task, binding) in &mut worker.bindings {
            if binding.eviction.is_some() || binding.unbinding {
                continue;
            }
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let spec = &job.spec;
            let ran_s = binding.running_since.map_or(0.0, |since| now - since);
            let finishes_in_time = !job.is_service()
                && binding.running_since.is_some()
                && (spec.expected_runtime_s - ran_s).max(0.0) < left_s;
            if !finishes_in_time {
                tracing::debug!(worker = name, %task, "task evicted: instance reclaim announced");
                let grace_s = if spec.checkpoint_grace_s <= left_s {
                    spec.checkpoint_grace_s
                } else {
                    0.0
                };
                binding.eviction = Some(Eviction {
                    grace_s,
                    reason: EvictionReason::Drained,
                });
            }
        }
    }
}
