//! Compares bindings with what a worker reports: tasks that run, that have exited, and that must move.

use super::Leader;
use crate::bookkeeping::hosts::HaltReason;
use crate::bookkeeping::jobs::Job;
use crate::bookkeeping::ledger::Change;
use crate::protocol::worker::{Cause, StepStatus, TaskId};

impl Leader {
    /// Compares a host's bindings with its latest report.
    pub(super) fn settle_bindings(&mut self, name: &str, now: f64) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        let mut exits = Vec::new();
        let mut absent = Vec::new();
        let mut images = Vec::new();
        let mut running = Vec::new();
        for (task, binding) in &mut host.bindings {
            if binding.ending || !binding.durable {
                continue;
            }
            let step = host
                .steps
                .get(task)
                .and_then(|steps| steps.iter().find(|s| s.attempt == binding.attempt));
            match step {
                Some(step) if step.status == StepStatus::Exited => {
                    exits.push((
                        task.clone(),
                        binding.attempt,
                        step.cause.unwrap_or(Cause::Other),
                        binding.running.is_some(),
                    ));
                }
                Some(step) if step.status != StepStatus::Fetching && binding.running.is_none() => {
                    binding.running = Some(now);
                    if let Some(job) = self.jobs.get_mut(&task.job) {
                        job.running += 1;
                    }
                    tracing::debug!(host = name, %task, attempt = binding.attempt, "running");
                    images.push(task.job.clone());
                }
                Some(step) => {
                    let failed = self
                        .jobs
                        .get(&task.job)
                        .is_some_and(Job::is_failing_service);
                    if let Some(since) = binding.running.filter(|_| failed)
                        && step.status == StepStatus::Running
                    {
                        running.push((task.job.clone(), now - since));
                    }
                }
                // The worker has this Epoch, so no earlier leader's start can reach it any more:
                // what it does not show is not there and won't be.
                None if binding.inherited && host.acked => {
                    absent.push((task.clone(), binding.attempt))
                }
                // Stopped before any start has gone out.
                None if binding.halt.is_some()
                    && !binding.inherited
                    && !host
                        .in_flight
                        .contains_key(&(task.clone(), binding.attempt)) =>
                {
                    absent.push((task.clone(), binding.attempt));
                }
                None => {}
            }
        }
        for job in images {
            if let Some(job) = self.jobs.get(&job) {
                host.note_image(&job.spec.image);
            }
        }
        for (job, for_s) in running {
            self.note_running(name, &job, for_s);
        }
        for (task, attempt) in absent {
            self.end_binding(name, &task, attempt, false);
        }
        for (task, attempt, cause, ran) in exits {
            self.exited(name, &task, attempt, cause, ran, now);
        }
    }

    fn end_binding(&mut self, name: &str, task: &TaskId, attempt: u64, done: bool) {
        let host = self.hosts.get_mut(name);
        if let Some(binding) = host.and_then(|host| host.bindings.get_mut(task))
            && binding.attempt == attempt
            && !binding.ending
        {
            binding.ending = true;
            self.ledger.push(Change::Unbind {
                host: name.to_owned(),
                task: task.clone(),
                attempt,
                done,
            });
        }
    }

    fn exited(
        &mut self,
        name: &str,
        task: &TaskId,
        attempt: u64,
        cause: Cause,
        ran: bool,
        now: f64,
    ) {
        tracing::debug!(host = name, %task, attempt, ?cause, "exited");
        let mut done = false;
        match cause {
            Cause::Done => {
                if ran {
                    self.note_finish(name, task, now);
                }
                if let Some(job) = self.jobs.get_mut(&task.job).filter(|job| !job.standing()) {
                    done = job.complete(task.index);
                }
                self.note_success(name, &task.job);
            }
            Cause::Error | Cause::NoSuch | Cause::Other => {
                self.note_failure(name, task, cause, now);
            }
            Cause::Stopped | Cause::Full | Cause::Busy => {}
        }
        // The end of the job goes first: should only it be written, the binding still is in the
        // records and ends by the worker's next report.
        if done {
            self.end_job(&task.job);
        }
        self.end_binding(name, task, attempt, done);
    }

    /// A machine that is about to be taken: what can't finish there in time moves now.
    pub(super) fn drain(&mut self, name: &str, now: f64) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        let left_s = host.taken_at.map_or(0.0, |at| at - now);
        for (task, binding) in &mut host.bindings {
            if binding.halt.is_some() || binding.ending {
                continue;
            }
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let spec = &job.spec;
            let ran_s = binding.running.map_or(0.0, |since| now - since);
            let finishes = !job.standing()
                && binding.running.is_some()
                && (spec.expect_s - ran_s).max(0.0) < left_s;
            if !finishes {
                tracing::debug!(host = name, %task, "drained: the machine is about to be taken");
                let drain_s = if spec.flush_s <= left_s {
                    spec.flush_s
                } else {
                    0.0
                };
                binding.halt = Some((drain_s, HaltReason::Drained));
            }
        }
    }
}
