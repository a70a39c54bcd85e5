//! Binding reconciliation: bindings against the tasks that a worker reports as running or exited, and
//! the eviction of those that must move.

use super::Leader;
use crate::bookkeeping::invariants::{self, Invariant};
use crate::bookkeeping::jobs::{Job, Jobs};
use crate::bookkeeping::permits;
use crate::bookkeeping::wal::LogEntry;
use crate::bookkeeping::workers::{Binding, Eviction, EvictionReason, Worker};
use crate::protocol::worker::{ExitReason, TaskId, TaskState};

/// What a heartbeat says about a bound task.
enum Finding {
    /// It has begun to run.
    Began,
    /// A replica of a failing service has run for so many seconds.
    RanFor(f64),
    /// It has exited.
    Exited {
        /// Why.
        reason: ExitReason,
        /// Whether it was seen running before.
        was_running: bool,
    },
    /// It is not on the worker, and no start of it may still arrive.
    Absent,
}

/// What the latest heartbeat of a worker says about a task that is bound to it.
fn finding(
    worker: &Worker,
    task: &TaskId,
    binding: &Binding,
    jobs: &Jobs,
    now: f64,
) -> Option<Finding> {
    if binding.unbinding || !binding.durable {
        return None;
    }
    let Some(task_status) = worker.observed_task(task, binding.attempt) else {
        let absent = permits::may_unbind_absent(worker, task, binding).is_ok();
        return absent.then_some(Finding::Absent);
    };
    match (task_status.state, binding.running_since) {
        (TaskState::Exited, running_since) => Some(Finding::Exited {
            reason: task_status.exit_reason.unwrap_or(ExitReason::Unknown),
            was_running: running_since.is_some(),
        }),
        (TaskState::Fetching, _) => None,
        (_, None) => Some(Finding::Began),
        (TaskState::Running, Some(since)) => {
            let failing = jobs.get(&task.job).is_some_and(Job::is_failing_service);
            failing.then_some(Finding::RanFor(now - since))
        }
        _ => None,
    }
}

impl Leader {
    /// Compares a worker's bindings with its latest heartbeat.
    pub(super) fn reconcile_bindings(&mut self, name: &str, now: f64) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let findings: Vec<(TaskId, u64, Finding)> = worker
            .bindings
            .iter()
            .filter_map(|(task, binding)| {
                let finding = finding(worker, task, binding, &self.jobs, now)?;
                Some((task.clone(), binding.attempt, finding))
            })
            .collect();
        for (task, attempt, finding) in findings {
            match finding {
                Finding::Began => self.on_task_started(name, &task, attempt, now),
                Finding::RanFor(for_s) => self.record_steady_replica(name, &task.job, for_s),
                Finding::Absent => self.end_binding(name, &task, attempt, false),
                Finding::Exited {
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

    /// Ends a binding whose task has exited, or is not on its worker and won't be.
    pub(super) fn end_binding(&mut self, name: &str, task: &TaskId, attempt: u64, done: bool) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let exited = worker.has_exited(task, attempt);
        let gone = exited || !worker.pending_starts.may_arrive(task, attempt);
        let details = format_args!("worker {name}, task {task}, attempt {attempt}");
        if !invariants::check(Invariant::NoUnbindWhileStartMayArrive, gone, details) {
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
                completed: done,
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
        let mut done = false;
        match reason {
            ExitReason::Completed => {
                if was_running {
                    self.record_runtime(name, task, now);
                }
                let worker = self.workers.get(name);
                let copies =
                    worker.is_some_and(|worker| worker.pending_starts.may_arrive(task, attempt));
                if let Some(job) = self.jobs.get_mut(&task.job).filter(|job| !job.is_service()) {
                    if copies {
                        job.workers_with_duplicate_starts.insert(name.to_owned());
                    }
                    done = job.complete(task.index);
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
        // The end of the job goes first: should only it be written, the binding still is in the
        // records and ends by the worker's next heartbeat.
        if done {
            self.finish_job(&task.job);
        }
        self.end_binding(name, task, attempt, done);
    }

    /// Evicts the tasks that can't finish before the cloud reclaims their machine.
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
            let finishes = !job.is_service()
                && binding.running_since.is_some()
                && (spec.expected_runtime_s - ran_s).max(0.0) < left_s;
            if !finishes {
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
