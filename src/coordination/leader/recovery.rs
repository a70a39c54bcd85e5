//! Reading the records after a failover: open jobs, the log, and provisioning requests.

use super::{Leader, LeaderEvent};
use crate::bookkeeping::records::{self, ProvisioningRecord};
use crate::bookkeeping::wal::{Segment, decode_chunk};
use crate::bookkeeping::workers::{Binding, Worker};
use crate::coordination::effects::{Effects, KvRequestKind};
use crate::protocol::cbor;
use crate::protocol::job::JobSpec;
use crate::protocol::kv::{KeyValue, KvRequest, KvResponse};
use crate::protocol::worker::TaskId;

/// A reading that goes on.
#[derive(Debug)]
pub(super) struct Recovery {
    remaining_prefixes: Vec<&'static str>,
    records: Vec<KeyValue>,
    after: Option<String>,
    in_flight: bool,
    retry_at: f64,
}

impl Recovery {
    /// Everything, for a new leader.
    pub fn new() -> Recovery {
        Recovery {
            // The last goes first.
            remaining_prefixes: vec![
                records::PROVISIONING_PREFIX,
                records::LOG_PREFIX,
                records::OPEN_PREFIX,
            ],
            records: Vec::new(),
            after: None,
            in_flight: false,
            retry_at: 0.0,
        }
    }
}

impl Leader {
    pub(super) fn poll_recovery(&mut self, effects: &mut Effects, now: f64) {
        let request_timeout_s = self.settings.deployment.workers.heartbeat_interval_s / 2.0;
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        if recovery.in_flight || now < recovery.retry_at {
            return;
        }
        let Some(prefix) = recovery.remaining_prefixes.last() else {
            return;
        };
        recovery.in_flight = true;
        let call = KvRequest::List {
            prefix: (*prefix).to_owned(),
            after: recovery.after.clone(),
        };
        self.request_budget.take_with_debt(1.0, now);
        effects.call_kv(
            KvRequestKind::RecoveryRead(self.epoch),
            call,
            request_timeout_s,
            now,
        );
    }

    /// Takes a page of records.
    pub fn on_recovery_page(&mut self, response: KvResponse, now: f64, wall: f64) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        recovery.in_flight = false;
        let KvResponse::Page { items, more, .. } = response else {
            recovery.retry_at = now + self.settings.deployment.workers.heartbeat_interval_s / 10.0;
            return;
        };
        recovery.after = items.last().map(|item| item.key.clone());
        let more = more && !items.is_empty();
        recovery.records.extend(items);
        if !more {
            recovery.after = None;
            recovery.remaining_prefixes.pop();
        }
        if recovery.remaining_prefixes.is_empty() {
            self.finish_recovery(now, wall);
        }
    }

    fn finish_recovery(&mut self, now: f64, wall: f64) {
        let Some(recovery) = self.recovery.take() else {
            return;
        };
        let mut segments = Vec::new();
        for item in &recovery.records {
            if item.key.starts_with(records::OPEN_PREFIX) {
                if let Ok(spec) = cbor::from_value::<JobSpec>(&item.value)
                    && !self.closed_during_recovery.contains(&spec.id)
                {
                    self.on_job_opened(item.mod_revision, &spec, now, wall);
                }
            } else if item.key.starts_with(records::LOG_PREFIX) {
                match cbor::from_value::<Segment>(&item.value) {
                    Ok(segment) => {
                        if segment.epoch > self.epoch {
                            tracing::error!(
                                key = item.key,
                                epoch = segment.epoch,
                                ours = self.epoch,
                                "Epoch: the segment is of a leader after this one, which can't be; its \
                                 bindings are kept. Look for a state service that was set back"
                            );
                        }
                        segments.push((item, segment));
                    }
                    Err(error) => tracing::error!(key = item.key, %error, "log segment unreadable"),
                }
            } else if let Some(idempotency_key) =
                item.key.strip_prefix(records::PROVISIONING_PREFIX)
                && let Ok(record) = cbor::from_value::<ProvisioningRecord>(&item.value)
            {
                self.fleet.inherit_provisioning(idempotency_key, record);
            }
        }
        self.is_first_leader = segments.is_empty() && !self.fleet.is_provisioning();
        segments.sort_by_key(|(_, segment)| segment.seq);
        // What a worker is may have been carried into a later segment than its bindings stand in.
        for (_, segment) in &segments {
            self.replay_workers(segment, now);
        }
        for (item, segment) in &segments {
            self.log
                .replay_segment(&item.key, item.mod_revision, segment);
            self.replay_bindings(segment);
        }
        self.charge_inherited_bindings();
        self.closed_during_recovery.clear();
        if let Some((revision, listed)) = self.listing_during_recovery.take() {
            self.on_open_jobs_listed(revision, listed);
        }
        self.mark_inherited_crash_looping();
        self.evict_orphans();
        tracing::info!(
            epoch = self.epoch,
            jobs = self.jobs.len(),
            workers = self.workers.len(),
            segments = segments.len(),
            after_s = now - self.elected_at,
            "recovery completed"
        );
        self.finish_completed_jobs();
        for (_, heartbeat) in std::mem::take(&mut self.buffered_heartbeats) {
            let _ = self.apply_heartbeat(&heartbeat, true, now);
        }
        self.schedule_due = true;
    }

    /// Repeats what a segment of the log says of workers.
    fn replay_workers(&mut self, segment: &Segment, now: f64) {
        // An earlier leader may have answered reports until its lease grace period ended.
        let lease_from = self.previous_leader_deadline;
        for entry in &segment.workers {
            let Some(name) = segment.worker_name(entry.worker) else {
                continue;
            };
            let worker = self.workers.entry(name, || {
                let mut worker =
                    Worker::new(name, &entry.instance_type, &entry.zone, entry.spot, now);
                worker.lease_renewed_at = lease_from;
                worker
            });
            worker.endpoint.clone_from(&entry.endpoint);
            worker.terminating |= entry.terminating;
            worker.termination_recorded |= entry.terminating;
        }
    }

    /// Repeats what a segment of the log says of tasks.
    fn replay_bindings(&mut self, segment: &Segment) {
        let task = |job: u32, index: u32| {
            let job = segment.job(job)?.id.clone();
            Some(TaskId { job, index })
        };
        for entry in &segment.bindings {
            let (Some(name), Some(job)) =
                (segment.worker_name(entry.worker), segment.job(entry.job))
            else {
                continue;
            };
            let (Some(worker), Some(task)) =
                (self.workers.get_mut(name), task(entry.job, entry.index))
            else {
                continue;
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
            worker.bindings.insert(task, binding);
        }
        for entry in &segment.ended_bindings {
            let worker = segment
                .worker_name(entry.worker)
                .and_then(|name| self.workers.get_mut(name));
            if let (Some(worker), Some(task)) = (worker, task(entry.job, entry.index))
                && worker
                    .bindings
                    .get(&task)
                    .is_some_and(|binding| binding.attempt == entry.attempt)
            {
                worker.bindings.remove(&task);
            }
        }
        for number in &segment.removed_workers {
            if let Some(name) = segment.worker_name(*number) {
                self.workers.remove(name);
            }
        }
        for entry in &segment.completed {
            let job = segment
                .job(entry.job)
                .and_then(|job| self.jobs.get_mut(&job.id));
            if let Some(job) = job {
                for index in decode_chunk(entry.chunk, &entry.bitmap) {
                    job.complete(index);
                }
            }
        }
    }

    /// Counts the bindings that the log has left.
    fn charge_inherited_bindings(&mut self) {
        for worker in self.workers.iter() {
            for (task, binding) in &worker.bindings {
                let need = binding.request;
                self.quotas.charge(&binding.team, need.cpus, need.gpus);
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.bind(task.index, &worker.name, &worker.zone);
                }
            }
            self.dispatch_due.insert(worker.name.clone());
        }
    }

    /// Jobs of which the last task was recorded, but not the end.
    fn finish_completed_jobs(&mut self) {
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

    pub(super) fn emit(&mut self, event: LeaderEvent) {
        self.events.push(event);
    }
}
