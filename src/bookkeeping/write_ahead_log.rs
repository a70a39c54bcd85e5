//! The leader's writes: a queue of changes, folded into one transaction at a time.
//!
//! Bindings, their ends, marks of workers and completed tasks go to a write-ahead log, a ring of keys
//! `log/<slot>`. Each transaction overwrites the oldest slot with a new segment, into which it
//! carries what the old one had that still counts; the ring grows only while too little of it is
//! free. Jobs that end and provisioning requests are keys of their own, written in the same transaction.
//!
//! Every transaction is conditional on the mod revisions of `leader`, of the slot, and of `open/<id>` of
//! every job that it binds tasks of or ends. So a deposed leader writes nothing and a cancel wins.
//! A condition that has failed once can never hold again, and nothing else is written before the
//! outcome of a transaction is known; so none is ever applied late or twice.

use super::jobs::Jobs;
use super::records::{self, FinishedRecord, JobOutcome};
use super::ring::{LiveEntry, SegmentRing, Slot};
use super::segment::{Segment, SegmentBuilder, TASKS_PER_CHUNK, encode_chunk};
use super::workers::Workers;
use crate::protocol::kv::{COMPARES_PER_WRITE, Compare, MAX_TXN_BYTES, Txn, WriteOp};
use crate::protocol::worker::TaskId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One change that is to be written down.
#[derive(Debug, Clone, PartialEq)]
pub enum LogEntry {
    /// A task is bound to a worker.
    Bind {
        /// Worker.
        worker: String,
        /// Task.
        task: TaskId,
        /// Attempt.
        attempt: u64,
    },
    /// A binding has ended; `done` tasks are recorded in the same transaction.
    Unbind {
        /// Worker.
        worker: String,
        /// Task.
        task: TaskId,
        /// Attempt.
        attempt: u64,
        /// The task is complete.
        completed: bool,
    },
    /// All tasks of a job are done.
    FinishJob {
        /// Job id.
        job: String,
    },
    /// A worker is to be released.
    RecordTermination {
        /// Worker.
        worker: String,
    },
    /// A worker is gone, with all bindings.
    RemoveWorker {
        /// Worker.
        worker: String,
    },
    /// Any other key is put or removed.
    WriteKey {
        /// The write.
        write: WriteOp,
    },
}

/// A transaction that waits for its answer.
#[derive(Debug)]
struct InFlight {
    txn: Txn,
    entries: Vec<LogEntry>,
    live_entries: Vec<LiveEntry>,
    seq: u64,
    epoch: u64,
    slot: u32,
    /// The segment that it overwrites.
    overwritten_seq: Option<u64>,
    /// It was sent and not answered: it may have been executed, or may yet be.
    outcome_unknown: bool,
}

/// Limits of a transaction.
#[derive(Debug, Clone, Copy)]
pub struct TxnLimits {
    /// Puts and deletes.
    pub max_writes: usize,
    /// Bytes of a value.
    pub max_value_bytes: usize,
}

/// The queue and the transaction on its way.
#[derive(Debug)]
pub struct WriteAheadLog {
    limits: TxnLimits,
    queue: VecDeque<LogEntry>,
    in_flight: Option<InFlight>,
    rejected_bindings: Vec<(String, TaskId, u64)>,
    ring: SegmentRing,
}

/// Share of the byte limits that a segment or a transaction fills at most.
const FILL: f64 = 0.9;

struct SegmentDraft {
    builder: SegmentBuilder,
    entries: Vec<LogEntry>,
    live_entries: Vec<LiveEntry>,
    described_workers: BTreeSet<String>,
    bound_jobs: BTreeSet<String>,
    finished_jobs: BTreeMap<String, u32>,
    key_writes: Vec<WriteOp>,
    key_write_bytes: usize,
}

impl SegmentDraft {
    fn write_count(&self) -> usize {
        1 + 2 * self.finished_jobs.len() + self.key_writes.len()
    }
    fn compare_count(&self) -> usize {
        2 + self.bound_jobs.len() + self.finished_jobs.len()
    }
}

impl WriteAheadLog {
    /// An empty queue.
    pub fn new(limits: TxnLimits) -> WriteAheadLog {
        WriteAheadLog {
            limits,
            queue: VecDeque::new(),
            in_flight: None,
            rejected_bindings: Vec::new(),
            ring: SegmentRing::default(),
        }
    }

    /// Binds that became void before they were sent: worker, task and attempt.
    pub fn take_rejected_bindings(&mut self) -> Vec<(String, TaskId, u64)> {
        std::mem::take(&mut self.rejected_bindings)
    }

    /// Takes over a segment that an earlier leader wrote; they come in the log's order.
    pub fn replay_segment(&mut self, key: &str, mod_revision: u64, segment: &Segment) {
        self.ring.replay_segment(key, mod_revision, segment);
    }

    /// A job is over: its completed tasks need not be kept.
    pub fn forget_job(&mut self, job: &str) {
        self.ring.remove_job(job);
    }

    /// Adds a change.
    pub fn push(&mut self, change: LogEntry) {
        self.queue.push_back(change);
    }

    /// Changes that wait, in flight included.
    pub fn backlog(&self) -> usize {
        self.queue.len() + self.in_flight.as_ref().map_or(0, |t| t.entries.len())
    }

    /// Whether a transaction is on its way, or its outcome unknown.
    pub fn is_busy(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Slots of the ring.
    pub fn slots(&self) -> usize {
        self.ring.slots.len()
    }

    /// The transaction whose outcome is unknown, to be sent once more as it was.
    pub fn retry_of_unknown(&self) -> Option<Txn> {
        let sent = self
            .in_flight
            .as_ref()
            .filter(|sent| sent.outcome_unknown)?;
        Some(sent.txn.clone())
    }

    /// Forms the next transaction of at most `budget` writes, if there is anything to write.
    pub fn next_transaction(
        &mut self,
        leader_revision: u64,
        workers: &Workers,
        jobs: &Jobs,
        budget: usize,
    ) -> Option<Txn> {
        if self.in_flight.is_some() || budget == 0 || self.queue.is_empty() {
            return None;
        }
        let seq = self.ring.next_seq;
        let mut draft = SegmentDraft {
            builder: SegmentBuilder::new(leader_revision, seq),
            entries: Vec::new(),
            live_entries: Vec::new(),
            described_workers: BTreeSet::new(),
            bound_jobs: BTreeSet::new(),
            finished_jobs: BTreeMap::new(),
            key_writes: Vec::new(),
            key_write_bytes: 0,
        };
        let (over, slot, mod_revision) = self.choose_slot(&mut draft, workers, jobs);
        let limit = (self.limits.max_value_bytes as f64 * FILL) as usize;
        while let Some(change) = self.queue.front() {
            if !self.fits(&draft, change, workers, jobs, budget, limit) {
                break;
            }
            let Some(change) = self.queue.pop_front() else {
                break;
            };
            if add(&mut draft, &self.ring, &change, workers, jobs) {
                draft.entries.push(change);
            } else if let LogEntry::Bind {
                worker,
                task,
                attempt,
            } = change
            {
                self.rejected_bindings.push((worker, task, attempt));
            }
        }
        if draft.entries.is_empty() && draft.live_entries.is_empty() {
            return None;
        }
        self.ring.next_seq = seq + 1;
        let mut when = vec![
            Compare::new(records::LEADER_KEY, leader_revision),
            Compare::new(records::log_key(slot), mod_revision),
        ];
        for job in &draft.bound_jobs {
            let mod_revision = jobs.get(job).map_or(0, |known| known.mod_revision);
            when.push(Compare::new(records::open_key(job), mod_revision));
        }
        let segment = draft.builder.finish();
        let mut writes = vec![WriteOp::put(records::log_key(slot), &segment)];
        for (id, done) in &draft.finished_jobs {
            when.push(Compare::new(records::finished_key(id), 0));
            writes.push(WriteOp::delete(records::open_key(id)));
            let record = FinishedRecord {
                outcome: JobOutcome::Done,
                completed_tasks: *done,
            };
            writes.push(WriteOp::put(records::finished_key(id), &record));
        }
        writes.append(&mut draft.key_writes);
        let txn = Txn {
            compares: when,
            writes,
        };
        self.in_flight = Some(InFlight {
            txn: txn.clone(),
            entries: draft.entries,
            live_entries: draft.live_entries,
            seq,
            epoch: leader_revision,
            slot,
            overwritten_seq: over,
            outcome_unknown: false,
        });
        Some(txn)
    }

    /// The slot for the next segment: the oldest, of which all that still counts is carried over,
    /// or a new one while the ring is too full. Returns the segment that is overwritten, the slot
    /// and its version.
    fn choose_slot(
        &self,
        draft: &mut SegmentDraft,
        workers: &Workers,
        jobs: &Jobs,
    ) -> (Option<u64>, u32, u64) {
        let oldest = self.ring.slots.iter().next();
        let large_enough = self.ring.is_large_enough(self.limits.max_value_bytes);
        let Some((seq, oldest)) = oldest.filter(|_| large_enough) else {
            // Slots are numbered without gaps and never removed.
            return (None, self.ring.slots.len() as u32, 0);
        };
        for item in &oldest.live_entries {
            carry(draft, item, workers, jobs);
        }
        (Some(*seq), oldest.number, oldest.mod_revision)
    }

    /// Whether one more change fits into a draft.
    fn fits(
        &self,
        draft: &SegmentDraft,
        change: &LogEntry,
        workers: &Workers,
        jobs: &Jobs,
        budget: usize,
        limit: usize,
    ) -> bool {
        let team = |job: &str| jobs.get(job).map_or("", |known| &known.spec.team);
        let entry = |worker: &String, job: &str| {
            workers
                .get(worker)
                .map_or(2 * worker.len() + job.len() + 128, |known| {
                    SegmentBuilder::entry_bytes(known, job, team(job))
                })
        };
        let (ops, bytes, put_bytes) = match change {
            LogEntry::Bind { worker, task, .. } => (0, entry(worker, &task.job), 0),
            LogEntry::Unbind { worker, task, .. } => (
                0,
                entry(worker, &task.job) + TASKS_PER_CHUNK as usize / 4,
                0,
            ),
            LogEntry::RecordTermination { worker } | LogEntry::RemoveWorker { worker } => {
                (0, entry(worker, ""), 0)
            }
            LogEntry::FinishJob { job } => (2, 0, 2 * job.len() + 256),
            LogEntry::WriteKey { write } => (1, 0, write.json_size()),
        };
        let txn_limit = (MAX_TXN_BYTES as f64 * FILL) as usize;
        let conditions = COMPARES_PER_WRITE * self.limits.max_writes;
        // A first change always goes in where there is room at all, so that nothing is stuck.
        draft.write_count() + ops <= self.limits.max_writes.min(budget.max(3))
            && draft.compare_count() + 2 <= conditions
            && draft.builder.bytes() + bytes <= limit
            && self.limits.max_value_bytes
                + 64 * draft.compare_count()
                + draft.key_write_bytes
                + put_bytes
                <= txn_limit
    }

    /// The transaction was committed: returns its changes.
    pub fn complete_in_flight(&mut self, mod_revision: u64) -> Vec<LogEntry> {
        let Some(sent) = self.in_flight.take() else {
            return Vec::new();
        };
        let slot = Slot {
            number: sent.slot,
            mod_revision,
            live_entries: BTreeSet::new(),
        };
        self.ring.slots.insert(sent.seq, slot);
        for item in sent.live_entries {
            self.ring.insert(item, sent.seq);
        }
        if let Some(over) = sent.overwritten_seq
            && let Some(old) = self.ring.slots.remove(&over)
        {
            for item in old.live_entries {
                self.ring.location.remove(&item);
            }
        }
        for change in &sent.entries {
            match change {
                LogEntry::Unbind { worker, task, .. } => {
                    self.ring
                        .remove(&LiveEntry::Binding(worker.clone(), task.clone()));
                }
                LogEntry::RemoveWorker { worker } => self.ring.remove_worker(worker),
                LogEntry::FinishJob { job } => self.ring.remove_job(job),
                _ => {}
            }
        }
        sent.entries
    }

    /// The transaction was not answered: it may have been executed, or may yet be.
    pub fn mark_outcome_unknown(&mut self) {
        if let Some(sent) = &mut self.in_flight {
            sent.outcome_unknown = true;
        }
    }

    /// Whether the transaction on its way has been sent before without an answer.
    pub fn is_outcome_unknown(&self) -> bool {
        self.in_flight
            .as_ref()
            .is_some_and(|sent| sent.outcome_unknown)
    }

    /// The key that tells whether a transaction of unknown outcome was executed.
    pub fn read_back_key(&self) -> Option<String> {
        Some(records::log_key(self.in_flight.as_ref()?.slot))
    }

    /// Whether this value of the witness is that of the transaction on its way.
    pub fn is_own_segment(&self, segment: &Segment) -> bool {
        self.in_flight
            .as_ref()
            .is_some_and(|sent| (sent.epoch, sent.seq) == (segment.epoch, segment.seq))
    }

    /// The transaction was certainly not executed and never will be: its changes go back to the
    /// head of the queue.
    pub fn requeue_in_flight(&mut self) {
        if let Some(sent) = self.in_flight.take() {
            for change in sent.entries.into_iter().rev() {
                self.queue.push_front(change);
            }
        }
    }
}

/// Copies what still counts of an old segment into a draft.
fn carry(draft: &mut SegmentDraft, item: &LiveEntry, workers: &Workers, jobs: &Jobs) {
    match item {
        LiveEntry::Worker(name) => {
            let Some(worker) = workers.get(name) else {
                return;
            };
            draft
                .builder
                .describe_worker(worker, worker.termination_recorded);
            draft.described_workers.insert(name.clone());
        }
        LiveEntry::Binding(name, task) => {
            let known = workers
                .get(name)
                .and_then(|worker| worker.bindings.get(task));
            let Some(b) = known else { return };
            draft.builder.bind(
                name,
                (&task.job, task.index),
                (&b.team, b.request),
                (b.attempt, b.incarnation),
            );
        }
        LiveEntry::Completed(id, chunk) => {
            let Some(job) = jobs.get(id) else { return };
            let bits = encode_chunk(&job.completed, *chunk, job.spec.tasks);
            draft.builder.complete(id, *chunk, bits);
        }
    }
    draft.live_entries.push(item.clone());
}

/// Adds a change to a draft. False: it has become void.
fn add(
    draft: &mut SegmentDraft,
    ring: &SegmentRing,
    change: &LogEntry,
    workers: &Workers,
    jobs: &Jobs,
) -> bool {
    match change {
        LogEntry::Bind {
            worker: name,
            task,
            attempt,
        } => {
            let Some(worker) = workers.get(name) else {
                return false;
            };
            let Some(b) = worker.bindings.get(task) else {
                return false;
            };
            if jobs.get(&task.job).is_none() || b.attempt != *attempt {
                return false;
            }
            let kind = LiveEntry::Worker(name.clone());
            if !ring.location.contains_key(&kind) && draft.described_workers.insert(name.clone()) {
                draft.builder.describe_worker(worker, false);
                draft.live_entries.push(kind);
            }
            draft.builder.bind(
                name,
                (&task.job, task.index),
                (&b.team, b.request),
                (b.attempt, b.incarnation),
            );
            draft
                .live_entries
                .push(LiveEntry::Binding(name.clone(), task.clone()));
            draft.bound_jobs.insert(task.job.clone());
        }
        LogEntry::Unbind {
            worker,
            task,
            attempt,
            completed: done,
        } => {
            draft
                .builder
                .end_binding(worker, &task.job, task.index, *attempt);
            let chunk = task.index / TASKS_PER_CHUNK;
            let item = LiveEntry::Completed(task.job.clone(), chunk);
            if *done
                && let Some(job) = jobs.get(&task.job)
                && !job.finishing
                && !draft.live_entries.contains(&item)
            {
                let bits = encode_chunk(&job.completed, chunk, job.spec.tasks);
                draft.builder.complete(&task.job, chunk, bits);
                draft.live_entries.push(item);
            }
        }
        LogEntry::FinishJob { job } => {
            let Some(known) = jobs.get(job) else {
                return false;
            };
            draft.bound_jobs.insert(job.clone());
            draft
                .finished_jobs
                .insert(job.clone(), known.completed.len());
        }
        LogEntry::RecordTermination { worker: name } => {
            if let Some(worker) = workers.get(name) {
                draft.builder.describe_worker(worker, true);
                draft.described_workers.insert(name.clone());
                draft.live_entries.push(LiveEntry::Worker(name.clone()));
            }
        }
        LogEntry::RemoveWorker { worker } => draft.builder.remove_worker(worker),
        LogEntry::WriteKey { write } => {
            draft.key_write_bytes += write.json_size();
            draft.key_writes.push(write.clone());
        }
    }
    true
}
