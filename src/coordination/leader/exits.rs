//! Compares bindings with what a worker reports: tasks that run, that have exited, and that must move.

use super::Leader;
use crate::bookkeeping::hosts::HaltReason;
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
                Some(_) => {}
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
        let report_s = self.settings.deployment.workers.report_s;
        let mut done = false;
        if let Some(job) = self.jobs.get_mut(&task.job) {
            match cause {
                Cause::Done if !job.standing() => {
                    done = job.complete(task.index);
                    job.errors = 0;
                }
                // A faulty machine, or a mistake in the job: both wait a little longer each time.
                Cause::Error | Cause::NoSuch | Cause::Other => {
                    job.errors = (job.errors + 1).min(8);
                    let tasks = job.spec.tasks.max(1);
                    if job.errors > tasks.min(3) {
                        let wait = report_s * f64::from(1u32 << (job.errors - 1)) / 8.0;
                        job.not_before = now + wait.min(report_s * 8.0);
                    }
                }
                _ => {}
            }
        }
        if let Some(host) = self.hosts.get_mut(name) {
            match cause {
                Cause::Error => {
                    host.errors += 1;
                    tracing::info!(host = name, %task, errors = host.errors, "task failed");
                }
                Cause::Done => host.errors = 0,
                _ => {}
            }
            if cause == Cause::Done && ran {
                let binding = host.bindings.get(task);
                if let Some(ran_s) = binding.and_then(|b| b.running).map(|since| now - since) {
                    let expect_s = self
                        .jobs
                        .get(&task.job)
                        .map_or(0.0, |job| job.spec.expect_s);
                    self.fleet.note_finish(host, ran_s, expect_s, now);
                }
            }
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
