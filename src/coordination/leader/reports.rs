//! Reports, orders and direct commands.

use super::{Leader, MAX_EARLY, Notice};
use crate::bookkeeping::hosts::{HaltReason, Host};
use crate::bookkeeping::ledger::Change;
use crate::coordination::outbox::{Outbox, WorkerAsk};
use crate::protocol::worker::{
    Cause, Commands, Order, Report, StepReport, StepStatus, TaskId, Verb, WorkerCall, WorkerReply,
};
use std::collections::BTreeMap;

/// Orders in one message, well below the size limit of messages.
const MAX_ORDERS: usize = 300;

/// Report intervals without a report after which a worker is asked directly. They come with a
/// quarter more at most.
const PROBE_AFTER: f64 = 1.3;

/// What to answer a worker.
#[derive(Debug, PartialEq)]
pub enum ReportAnswer {
    /// 200 with these orders.
    Orders(Vec<Order>),
    /// Nothing that renews its lease: what runs there may be cancelled.
    NotNow,
    /// The worker has seen a higher Epoch: 421.
    Superseded,
}

impl Leader {
    /// Takes a report that a worker sent by itself. The answer renews its lease, if `may_renew`: this
    /// node knows of every cancellation that could be due. `is_open`: the open jobs that this node knows
    /// of besides the tables.
    pub fn report(
        &mut self,
        report: &Report,
        may_renew: bool,
        may_start: bool,
        is_open: impl Fn(&str) -> bool,
        now: f64,
    ) -> ReportAnswer {
        if report.epoch > self.epoch {
            self.note(Notice::Epoch(report.epoch));
            return ReportAnswer::Superseded;
        }
        if !may_renew {
            return ReportAnswer::NotNow;
        }
        if self.loading() {
            // Nothing can be stopped yet, however long it takes to load: workers with tasks of jobs
            // that are over don't have their leases renewed meanwhile.
            let runs_closed = report
                .steps
                .iter()
                .filter(|step| step.status != StepStatus::Exited)
                .filter_map(|step| TaskId::parse(&step.step))
                .any(|task| !is_open(&task.job));
            let known = self.early.contains_key(&report.host);
            if runs_closed || (!known && self.early.len() >= MAX_EARLY) {
                return ReportAnswer::NotNow;
            }
            self.early.insert(report.host.clone(), report.clone());
            return ReportAnswer::Orders(Vec::new());
        }
        if !self.take_report(report, true, now) {
            // Late: an answer renews nothing, and its task list is old.
            return ReportAnswer::Orders(Vec::new());
        }
        let Some(host) = self.hosts.get_mut(&report.host) else {
            return ReportAnswer::Orders(Vec::new());
        };
        let orders = host.orders(may_start, MAX_ORDERS);
        host.note_sent(&orders, Some(report.tick));
        if may_start && orders.len() < MAX_ORDERS {
            // The answer carries all; the next report shows what came of it.
            self.push_due.remove(&report.host);
            self.pushed_at
                .insert(report.host.clone(), (orders.clone(), now));
        }
        ReportAnswer::Orders(orders)
    }

    /// Takes a report from whatever way. False: a newer one is known.
    pub(super) fn take_report(&mut self, report: &Report, by_itself: bool, now: f64) -> bool {
        let since = self.others_until;
        let known = self.hosts.get(&report.host).is_some();
        if !known && self.fleet.is_gone(&report.host) {
            return false;
        }
        let host = self.hosts.entry(&report.host, || {
            let mut host = Host::new(&report.host, &report.flavor, &report.zone, report.spot, now);
            host.lease_from = since;
            host
        });
        if !known {
            tracing::info!(host = report.host, "a machine nobody expected reports");
        }
        if !host.is_newer(report) {
            // A copy, or overtaken by a direct answer. Should the worker still wait for our answer,
            // its lease counts from when it sent this, which was before the newest word we had.
            if let Some(heard) = host.heard.filter(|_| by_itself) {
                host.lease_from = host.lease_from.max(heard);
            }
            return false;
        }
        if by_itself {
            host.lease_from = if host.acked {
                now
            } else {
                host.lease_from.max(now)
            };
        }
        let new_session = report.tenure > host.tenure;
        if new_session {
            if host.heard.is_some() {
                // It lost a session although we answered it: perhaps our answers don't arrive.
                host.unreached = Some(now);
            }
            host.in_flight.clear();
            host.idle_since = now;
            // Its lease runs from its beginning, of which a direct answer may be the first word.
            host.lease_from = host.lease_from.max(now);
        } else if by_itself {
            host.settle_answers(report.tick);
        }
        if host.heard.is_none() {
            tracing::info!(
                host = report.host,
                flavor = report.flavor,
                zone = report.zone,
                spot = report.spot,
                after_s = now - host.since,
                "machine is up"
            );
            host.idle_since = now;
        }
        host.tenure = report.tenure;
        host.tick = report.tick;
        host.first_heard.get_or_insert(now);
        host.heard = Some(now);
        if report.epoch == self.epoch {
            // Only who has our Epoch shows that we are heard, too.
            self.last_report = Some(now);
        }
        host.endpoint.clone_from(&report.endpoint);
        host.taken_at = report.warning_s.map(|left| now + left);
        if report.epoch == self.epoch && !host.acked {
            // From here on nobody else's answers renew its lease, or reach it at all.
            host.acked = true;
            host.lease_from = now;
            self.schedule_due = true;
        }
        let mut steps: BTreeMap<TaskId, Vec<StepReport>> = BTreeMap::new();
        for step in &report.steps {
            if let Some(task) = TaskId::parse(&step.step) {
                steps.entry(task).or_default().push(step.clone());
            }
        }
        host.steps = steps;
        host.forget_cleared();
        let name = report.host.clone();
        if new_session {
            // A new session has killed and forgotten all tasks of the earlier ones.
            let tenure = report.tenure;
            self.lose_bindings(&name, |binding| binding.tenure < tenure);
            self.schedule_due = true;
        }
        self.settle_bindings(&name, now);
        if report.warning_s.is_some() {
            self.drain(&name, now);
        }
        self.push_due.insert(name);
        true
    }

    /// Compares a host's bindings with its latest report.
    fn settle_bindings(&mut self, name: &str, now: f64) {
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
    fn drain(&mut self, name: &str, now: f64) {
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

    /// Sends direct commands where the workers don't yet do what is wanted, and this leader's Epoch
    /// where it is not known yet. Calls at a time are bounded, and workers that may not answer get a
    /// part of them only: a zone that is cut off must not keep commands from the others.
    pub(super) fn drive_pushes(&mut self, may_start: bool, out: &mut Outbox, now: f64) {
        let report_s = self.settings.deployment.workers.report_s;
        let limit = self.settings.deployment.quota.direct_sockets();
        let missed = |host: &Host| {
            host.unreached.is_some()
                || host
                    .heard
                    .is_some_and(|at| now - at > PROBE_AFTER * report_s)
        };
        for host in self.hosts.iter().filter(|host| missed(host)) {
            self.push_due.insert(host.name.clone());
        }
        let due: Vec<String> = self.push_due.iter().cloned().collect();
        let mut doubtful: Vec<(f64, String, Vec<Order>)> = Vec::new();
        for name in due {
            if self.pushing.contains_key(&name) {
                continue;
            }
            let Some(host) = self.hosts.get_mut(&name) else {
                self.push_due.remove(&name);
                continue;
            };
            let mut orders = if host.acked {
                host.orders(may_start, MAX_ORDERS)
            } else {
                Vec::new()
            };
            if host.keeps_many() {
                orders.retain(|order| order.verb != Verb::Start);
            }
            // A worker that has missed its latest report is asked directly, before it is thought
            // silent: it may only be on its way from a node that does not answer it.
            let probe = host.acked && !host.marked && missed(host);
            let up = host.heard.is_some() || host.listed_up || !host.bindings.is_empty();
            // Clears can wait for the next report.
            let pressing = orders.iter().any(|order| order.verb != Verb::Clear);
            let wanted = pressing || probe || (!host.acked && !host.marked && up);
            if !wanted || host.endpoint.is_empty() {
                self.push_due.remove(&name);
                continue;
            }
            // What has just been sent is not repeated before its answer could show.
            let last = self.pushed_at.get(&name);
            if last.is_some_and(|(sent, at)| *sent == orders && now - at < report_s / 2.0) {
                continue;
            }
            if !host.acked || missed(host) {
                let at = last.map_or(f64::NEG_INFINITY, |(_, at)| *at);
                doubtful.push((at, name, orders));
            } else if self.pushing.len() < limit {
                self.push(&name, orders, false, out, now);
            }
        }
        let probing = self.pushing.values().filter(|doubtful| **doubtful).count();
        let free = (limit / 2).saturating_sub(probing);
        // Those not asked for longest go first.
        doubtful.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, name, orders) in doubtful.into_iter().take(free) {
            self.push(&name, orders, true, out, now);
        }
    }

    fn push(&mut self, name: &str, orders: Vec<Order>, doubtful: bool, out: &mut Outbox, now: f64) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        self.push_due.remove(name);
        self.pushing.insert(name.to_owned(), doubtful);
        host.note_sent(&orders, None);
        let tenure = host
            .tenure
            .max(host.bindings.values().map(|b| b.tenure).max().unwrap_or(1));
        let commands = Commands {
            epoch: self.epoch,
            tenure: Some(tenure.max(1)),
            orders: orders.clone(),
        };
        let ask = WorkerAsk {
            epoch: self.epoch,
            host: name.to_owned(),
            orders: orders.clone(),
        };
        out.worker(
            ask,
            host.endpoint.clone(),
            WorkerCall::Commands(commands),
            self.settings.deployment.workers.report_s / 2.0,
        );
        self.pushed_at.insert(name.to_owned(), (orders, now));
    }

    /// Takes what came of a direct call.
    pub fn pushed(&mut self, ask: &WorkerAsk, reply: WorkerReply, now: f64) {
        self.pushing.remove(&ask.host);
        self.push_due.insert(ask.host.clone());
        if let Some(host) = self.hosts.get_mut(&ask.host) {
            host.settle_direct(&ask.orders, matches!(reply, WorkerReply::Silent));
            match reply {
                WorkerReply::Done(_) | WorkerReply::Mismatch(_) => host.unreached = None,
                WorkerReply::Silent | WorkerReply::Unreached => {
                    host.unreached.get_or_insert(now);
                }
                WorkerReply::NotSent => {}
            }
            self.schedule_due = true;
        }
        let report = match reply {
            WorkerReply::Done(report) => report,
            WorkerReply::Mismatch(report) => {
                // Its session is known now: the next call can follow at once.
                self.pushed_at.remove(&ask.host);
                report
            }
            WorkerReply::NotSent | WorkerReply::Unreached | WorkerReply::Silent => return,
        };
        if report.host != ask.host {
            tracing::warn!(host = ask.host, "another worker answers at its address");
            return;
        }
        if report.epoch > self.epoch {
            self.note(Notice::Epoch(report.epoch));
            return;
        }
        self.take_report(&report, false, now);
    }
}
