//! Builds a transaction from queued changes: a segment of the log, and writes to keys outside of the log. The segment
//! also takes over the live entries of the segment that it overwrites. An entry is live as long as its binding, worker
//! or job has not ended.

use super::completed_tasks::{TASKS_PER_CHUNK, TASKS_PER_DIGIT, encode_chunk};
use super::log_entry::LogEntry;
use super::ring::{LiveEntry, SegmentRing, TargetSlot};
use super::segment::SegmentBuilder;
use crate::bookkeeping::jobs::Jobs;
use crate::bookkeeping::records::{self, FinishedRecord, JobOutcome};
use crate::bookkeeping::workers::Workers;
use crate::protocol::kv::{COMPARES_PER_WRITE, Compare, MAX_TXN_BYTES, Txn, WriteOp};
use crate::protocol::worker::TaskId;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum share of a byte limit that a segment or a transaction uses.
const FILL_SHARE: f64 = 0.9;
/// Minimum write budget: lower budgets are raised to this, so that the first change always fits. The end of a job needs
/// three writes: the segment, the delete of the open job and the put of the finished job.
const MIN_WRITE_BUDGET: usize = 3;
/// Maximum number of compares that one change adds.
const COMPARES_PER_CHANGE: usize = 2;
/// Approximate number of bytes that a compare adds to a transaction.
const COMPARE_BYTES: usize = 64;
/// Approximate number of bytes of the two writes that finish a job, apart from the job's id, which is in both.
const FINISH_JOB_BYTES: usize = 256;
/// Estimated maximum number of bytes of an entry for a worker that is no longer in the registry, apart from the names
/// of the worker and the job.
const UNKNOWN_WORKER_ENTRY_BYTES: usize = 128;
/// Maximum number of bytes of the bitmap of one chunk of completed tasks.
const CHUNK_BYTES: usize = (TASKS_PER_CHUNK / TASKS_PER_DIGIT) as usize;

/// Limits of a transaction.
#[derive(Debug, Clone, Copy)]
pub struct TxnLimits {
    /// Maximum number of puts and deletes.
    pub max_writes: usize,
    /// Maximum size of a value in bytes.
    pub max_value_bytes: usize,
}

/// The workers and jobs that changes refer to.
#[derive(Debug, Clone, Copy)]
pub(super) struct Registries<'a> {
    pub workers: &'a Workers,
    pub jobs: &'a Jobs,
}

impl Registries<'_> {
    /// Maximum number of bytes that an entry for this worker and job adds to a segment, apart from the bitmap of
    /// completed tasks.
    fn entry_bytes(&self, worker: &str, job: &str) -> usize {
        let Some(worker) = self.workers.get(worker) else {
            return 2 * worker.len() + job.len() + UNKNOWN_WORKER_ENTRY_BYTES;
        };
        let team = self.jobs.get(job).map_or("", |job| &job.spec.team);
        SegmentBuilder::entry_bytes(worker, job, team)
    }

    /// Upper bound of what a change adds to a transaction.
    fn cost(&self, change: &LogEntry) -> ChangeCost {
        match change {
            LogEntry::Bind { worker, task, .. } => {
                ChangeCost::of_segment(self.entry_bytes(worker, &task.job))
            }
            LogEntry::Unbind { worker, task, .. } => {
                ChangeCost::of_segment(self.entry_bytes(worker, &task.job) + CHUNK_BYTES)
            }
            LogEntry::RecordTermination { worker } | LogEntry::RemoveWorker { worker } => {
                ChangeCost::of_segment(self.entry_bytes(worker, ""))
            }
            LogEntry::FinishJob { job } => ChangeCost {
                key_writes: 2,
                segment_bytes: 0,
                key_write_bytes: 2 * job.len() + FINISH_JOB_BYTES,
            },
            LogEntry::WriteKey { write } => ChangeCost {
                key_writes: 1,
                segment_bytes: 0,
                key_write_bytes: write.json_size(),
            },
        }
    }
}

/// What a change adds to a transaction.
#[derive(Debug, Clone, Copy)]
struct ChangeCost {
    /// Number of writes to keys outside of the log.
    key_writes: usize,
    /// Bytes in the segment.
    segment_bytes: usize,
    /// Bytes of the writes to keys outside of the log.
    key_write_bytes: usize,
}

impl ChangeCost {
    /// The cost of a change that is written to the segment only.
    fn of_segment(segment_bytes: usize) -> ChangeCost {
        ChangeCost {
            key_writes: 0,
            segment_bytes,
            key_write_bytes: 0,
        }
    }
}

/// A transaction, with the changes that it commits and the live entries of its segment.
#[derive(Debug)]
pub(super) struct DraftedTransaction {
    pub txn: Txn,
    pub changes: Vec<LogEntry>,
    pub live_entries: Vec<LiveEntry>,
}

/// A transaction that is being built.
#[derive(Debug)]
pub(super) struct SegmentDraft {
    epoch: u64,
    builder: SegmentBuilder,
    changes: Vec<LogEntry>,
    live_entries: Vec<LiveEntry>,
    /// Names of the workers whose descriptions are in the segment.
    described_workers: BTreeSet<String>,
    /// Jobs that finish or whose tasks are bound; the transaction is conditional on each of them being open.
    jobs_required_open: BTreeSet<String>,
    /// Finished jobs, with the number of their completed tasks.
    finished_jobs: BTreeMap<String, u32>,
    /// Writes to keys outside of the log, apart from those that finish jobs.
    key_writes: Vec<WriteOp>,
    /// Upper bound of the size of `key_writes`.
    key_write_bytes: usize,
}

impl SegmentDraft {
    /// An empty draft of the segment with this sequence number.
    pub fn new(epoch: u64, seq: u64) -> SegmentDraft {
        SegmentDraft {
            epoch,
            builder: SegmentBuilder::new(epoch, seq),
            changes: Vec::new(),
            live_entries: Vec::new(),
            described_workers: BTreeSet::new(),
            jobs_required_open: BTreeSet::new(),
            finished_jobs: BTreeMap::new(),
            key_writes: Vec::new(),
            key_write_bytes: 0,
        }
    }

    /// Whether the draft has neither changes nor live entries, so that nothing needs to be written.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty() && self.live_entries.is_empty()
    }

    /// Whether one more change fits into the limits and into `budget`, the number of writes that the rate limit allows.
    pub fn fits(
        &self,
        change: &LogEntry,
        registries: Registries,
        limits: TxnLimits,
        budget: usize,
    ) -> bool {
        let cost = registries.cost(change);
        let max_writes = limits.max_writes.min(budget.max(MIN_WRITE_BUDGET));
        let max_compares = COMPARES_PER_WRITE * limits.max_writes;
        let txn_bytes = limits.max_value_bytes
            + COMPARE_BYTES * self.compare_count()
            + self.key_write_bytes
            + cost.key_write_bytes;
        self.write_count() + cost.key_writes <= max_writes
            && self.compare_count() + COMPARES_PER_CHANGE <= max_compares
            && self.builder.bytes() + cost.segment_bytes <= usable_bytes(limits.max_value_bytes)
            && txn_bytes <= usable_bytes(MAX_TXN_BYTES)
    }

    fn write_count(&self) -> usize {
        1 + 2 * self.finished_jobs.len() + self.key_writes.len()
    }

    fn compare_count(&self) -> usize {
        2 + self.jobs_required_open.len() + self.finished_jobs.len()
    }

    /// Copies a live entry of the segment that is to be overwritten, if its worker, binding or job is still in the
    /// registries.
    pub fn carry_over(&mut self, entry: &LiveEntry, registries: Registries) {
        match entry {
            LiveEntry::Worker(name) => {
                let Some(worker) = registries.workers.get(name) else {
                    return;
                };
                self.builder
                    .describe_worker(worker, worker.termination_recorded);
                self.described_workers.insert(name.clone());
            }
            LiveEntry::Binding { worker: name, task } => {
                let worker = registries.workers.get(name);
                let Some(binding) = worker.and_then(|worker| worker.bindings.get(task)) else {
                    return;
                };
                self.builder.bind(name, task, binding);
            }
            LiveEntry::Completed { job: id, chunk } => {
                let Some(job) = registries.jobs.get(id) else {
                    return;
                };
                let bitmap = encode_chunk(job.completed(), *chunk, job.spec.tasks);
                self.builder.complete(id, *chunk, bitmap);
            }
        }
        self.live_entries.push(entry.clone());
    }

    /// Adds a change. If the change is no longer valid, because its binding or job has ended, adds nothing and returns
    /// the change as the error.
    pub fn add(
        &mut self,
        change: LogEntry,
        ring: &SegmentRing,
        registries: Registries,
    ) -> Result<(), LogEntry> {
        let valid = match &change {
            LogEntry::Bind {
                worker,
                task,
                attempt,
            } => self.add_binding(worker, task, *attempt, ring, registries),
            LogEntry::Unbind {
                worker,
                task,
                attempt,
                completed,
            } => {
                self.builder.end_binding(worker, task, *attempt);
                if *completed {
                    self.add_completed_chunk(task, registries);
                }
                true
            }
            LogEntry::FinishJob { job } => self.add_finished_job(job, registries),
            LogEntry::RecordTermination { worker } => {
                self.add_termination(worker, registries);
                true
            }
            LogEntry::RemoveWorker { worker } => {
                self.builder.remove_worker(worker);
                true
            }
            LogEntry::WriteKey { write } => {
                self.key_write_bytes += write.json_size();
                self.key_writes.push(write.clone());
                true
            }
        };
        if !valid {
            return Err(change);
        }
        self.changes.push(change);
        Ok(())
    }

    /// Adds a binding, and the description of its worker unless the log has one. If the binding or its job has ended,
    /// adds nothing and returns false.
    fn add_binding(
        &mut self,
        name: &str,
        task: &TaskId,
        attempt: u64,
        ring: &SegmentRing,
        registries: Registries,
    ) -> bool {
        let Some(worker) = registries.workers.get(name) else {
            return false;
        };
        let Some(binding) = worker.bindings.get(task) else {
            return false;
        };
        if registries.jobs.get(&task.job).is_none() || binding.attempt != attempt {
            return false;
        }
        let description = LiveEntry::Worker(name.to_owned());
        if !ring.contains(&description) && self.described_workers.insert(name.to_owned()) {
            self.builder.describe_worker(worker, false);
            self.live_entries.push(description);
        }
        self.builder.bind(name, task, binding);
        self.live_entries.push(LiveEntry::Binding {
            worker: name.to_owned(),
            task: task.clone(),
        });
        self.jobs_required_open.insert(task.job.clone());
        true
    }

    /// Adds the chunk that contains a completed task, unless the draft has it already, or the job has ended or is
    /// finishing.
    fn add_completed_chunk(&mut self, task: &TaskId, registries: Registries) {
        let chunk = task.index / TASKS_PER_CHUNK;
        let entry = LiveEntry::Completed {
            job: task.job.clone(),
            chunk,
        };
        if let Some(job) = registries.jobs.get(&task.job)
            && !job.finishing
            && !self.live_entries.contains(&entry)
        {
            let bitmap = encode_chunk(job.completed(), chunk, job.spec.tasks);
            self.builder.complete(&task.job, chunk, bitmap);
            self.live_entries.push(entry);
        }
    }

    /// Adds the end of a job whose tasks are all complete. If the job has ended already, adds nothing and returns
    /// false.
    fn add_finished_job(&mut self, id: &str, registries: Registries) -> bool {
        let Some(job) = registries.jobs.get(id) else {
            return false;
        };
        self.jobs_required_open.insert(id.to_owned());
        self.finished_jobs
            .insert(id.to_owned(), job.completed().len());
        true
    }

    fn add_termination(&mut self, name: &str, registries: Registries) {
        if let Some(worker) = registries.workers.get(name) {
            self.builder.describe_worker(worker, true);
            self.described_workers.insert(name.to_owned());
            self.live_entries.push(LiveEntry::Worker(name.to_owned()));
        }
    }

    /// Returns the transaction that writes the draft to a slot.
    pub fn finish(self, slot: TargetSlot, jobs: &Jobs) -> DraftedTransaction {
        let compares = self.compares(slot, jobs);
        let mut writes = vec![WriteOp::put(
            records::log_key(slot.number),
            &self.builder.finish(),
        )];
        for (id, completed_tasks) in &self.finished_jobs {
            let record = FinishedRecord {
                outcome: JobOutcome::Done,
                completed_tasks: *completed_tasks,
            };
            writes.push(WriteOp::delete(records::open_key(id)));
            writes.push(WriteOp::put(records::finished_key(id), &record));
        }
        writes.extend(self.key_writes);
        DraftedTransaction {
            txn: Txn { compares, writes },
            changes: self.changes,
            live_entries: self.live_entries,
        }
    }

    /// The conditions of the transaction: this controller is still the leader, the slot has not been written since, the
    /// jobs that finish or whose tasks are bound are still open, and the jobs that finish have no finished record yet.
    fn compares(&self, slot: TargetSlot, jobs: &Jobs) -> Vec<Compare> {
        let mut compares = vec![
            Compare::new(records::LEADER_KEY, self.epoch),
            Compare::new(records::log_key(slot.number), slot.mod_revision),
        ];
        for id in &self.jobs_required_open {
            let mod_revision = jobs.get(id).map_or(0, |job| job.mod_revision);
            compares.push(Compare::new(records::open_key(id), mod_revision));
        }
        for id in self.finished_jobs.keys() {
            compares.push(Compare::new(records::finished_key(id), 0));
        }
        compares
    }
}

/// Number of bytes that a segment or a transaction uses at most under a limit of `max_bytes`.
fn usable_bytes(max_bytes: usize) -> usize {
    (max_bytes as f64 * FILL_SHARE) as usize
}
