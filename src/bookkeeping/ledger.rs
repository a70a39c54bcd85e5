//! The leader's writes: a queue of changes, folded into one transaction at a time.
//!
//! Every transaction is conditional on the Stamps of `leader` and of every key that it writes, and
//! on `open/<id>` of every job that it binds or completes tasks of. So a deposed leader writes
//! nothing, a cancel wins, and a transaction that is applied late can undo nothing newer.

use super::hosts::{Host, Hosts};
use super::jobs::Jobs;
use super::records::{self, BoundTask, Ending, HostRecord, OverRecord, ProgressRecord};
use crate::protocol::state::{CONDITIONS_PER_OP, Condition, TXN_BYTES, Txn, Write};
use crate::protocol::worker::TaskId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One change that is to be written down.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A task is bound to a host.
    Bind {
        /// Host.
        host: String,
        /// Task.
        task: TaskId,
        /// Attempt.
        attempt: u64,
    },
    /// A binding has ended; `done` tasks are recorded in the same transaction.
    Unbind {
        /// Host.
        host: String,
        /// Task.
        task: TaskId,
        /// Attempt.
        attempt: u64,
        /// The task is complete.
        done: bool,
    },
    /// All tasks of a job are done.
    End {
        /// Job id.
        job: String,
    },
    /// A host is to be given back.
    Mark {
        /// Host.
        host: String,
    },
    /// A host is gone: its record goes, with all bindings.
    Forget {
        /// Host.
        host: String,
    },
    /// Any other key is put or removed.
    Put {
        /// The write.
        write: Write,
    },
}

/// A transaction that waits for its answer.
#[derive(Debug)]
pub struct InFlight {
    /// The changes in it.
    pub changes: Vec<Change>,
    /// New records of the hosts in it; none: removed.
    hosts: BTreeMap<String, Option<HostRecord>>,
    /// Progress chunks in it; true: put.
    chunks: BTreeMap<(String, u32), bool>,
}

/// Limits of a transaction.
#[derive(Debug, Clone, Copy)]
pub struct TxnLimits {
    /// Puts and deletes.
    pub ops: usize,
    /// Bytes of a value.
    pub value_bytes: usize,
}

impl TxnLimits {
    /// Tasks in a progress chunk: four fit into a digit; half of a value is left unused.
    pub fn chunk_tasks(&self) -> u32 {
        (self.value_bytes as u32 * 2).max(64)
    }
    /// The most bindings that one host's record can hold.
    pub fn bindings_per_host(&self) -> usize {
        (self.value_bytes / 128).max(1)
    }
}

/// The queue and the transaction on its way.
#[derive(Debug)]
pub struct Ledger {
    limits: TxnLimits,
    queue: VecDeque<Change>,
    in_flight: Option<InFlight>,
    void: Vec<(String, TaskId, u64)>,
}

/// Share of the byte limit that a transaction fills at most.
const FILL: f64 = 0.8;

#[derive(Default)]
struct Draft {
    changes: Vec<Change>,
    hosts: BTreeMap<String, Option<HostRecord>>,
    chunks: BTreeMap<(String, u32), bool>,
    open: BTreeSet<String>,
    ended: BTreeMap<String, u32>,
    puts: Vec<Write>,
    bytes: usize,
}

/// What a binding takes in a record, at most.
const STEP_BYTES: usize = 128;

#[derive(Clone, Copy)]
struct Cost {
    ops: usize,
    bytes: usize,
}

impl Draft {
    fn conditions(&self) -> usize {
        1 + self.hosts.len() + self.open.len() + self.chunks.len() + self.ended.len()
    }
    fn ops(&self) -> usize {
        self.hosts.len() + self.chunks.len() + 2 * self.ended.len() + self.puts.len()
    }
}

impl Ledger {
    /// An empty queue.
    pub fn new(limits: TxnLimits) -> Ledger {
        Ledger {
            limits,
            queue: VecDeque::new(),
            in_flight: None,
            void: Vec::new(),
        }
    }

    /// Binds that became void before they were sent: host, task and attempt.
    pub fn take_void(&mut self) -> Vec<(String, TaskId, u64)> {
        std::mem::take(&mut self.void)
    }

    /// The limits.
    pub fn limits(&self) -> TxnLimits {
        self.limits
    }

    /// Adds a change.
    pub fn push(&mut self, change: Change) {
        self.queue.push_back(change);
    }

    /// Changes that wait, in flight included.
    pub fn backlog(&self) -> usize {
        self.queue.len() + self.in_flight.as_ref().map_or(0, |t| t.changes.len())
    }

    /// Whether a transaction is on its way.
    pub fn busy(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Forms the next transaction of at most `budget` writes, if there is anything to write.
    pub fn next(
        &mut self,
        leader_stamp: u64,
        hosts: &Hosts,
        jobs: &Jobs,
        budget: usize,
    ) -> Option<Txn> {
        if self.in_flight.is_some() {
            return None;
        }
        let mut draft = Draft::default();
        while let Some(change) = self.queue.front() {
            let cost = self.cost(&draft, change, hosts, jobs);
            let fits = draft.ops() + cost.ops <= self.limits.ops.min(budget)
                && draft.conditions() + cost.ops < CONDITIONS_PER_OP * self.limits.ops
                && (draft.changes.is_empty()
                    || (draft.bytes + cost.bytes) as f64 <= TXN_BYTES as f64 * FILL);
            if !fits {
                break;
            }
            let Some(change) = self.queue.pop_front() else {
                break;
            };
            if self.add(&mut draft, &change, hosts, jobs) {
                draft.bytes += cost.bytes;
                draft.changes.push(change);
            } else if let Change::Bind {
                host,
                task,
                attempt,
            } = change
            {
                self.void.push((host, task, attempt));
            }
        }
        if draft.changes.is_empty() {
            return None;
        }
        let txn = self.compose(&draft, leader_stamp, hosts, jobs);
        self.in_flight = Some(InFlight {
            changes: draft.changes,
            hosts: draft.hosts,
            chunks: draft.chunks,
        });
        Some(txn)
    }

    /// What a change adds to a draft, at most.
    fn cost(&self, draft: &Draft, change: &Change, hosts: &Hosts, jobs: &Jobs) -> Cost {
        let host_cost = |name: &String| {
            let steps = hosts.get(name).map_or(0, |host| host.durable.steps.len());
            if draft.hosts.contains_key(name) {
                Cost {
                    ops: 0,
                    bytes: STEP_BYTES,
                }
            } else {
                Cost {
                    ops: 1,
                    bytes: STEP_BYTES * (steps + 4),
                }
            }
        };
        match change {
            Change::Bind { host, .. } | Change::Mark { host } | Change::Forget { host } => {
                host_cost(host)
            }
            Change::Unbind {
                host, task, done, ..
            } => {
                let mut cost = host_cost(host);
                let chunk = task.index / self.limits.chunk_tasks();
                if *done && !draft.chunks.contains_key(&(task.job.clone(), chunk)) {
                    let tasks = jobs.get(&task.job).map_or(0, |job| job.spec.tasks);
                    let digits = tasks.min(self.limits.chunk_tasks()) / 4;
                    cost.ops += 1;
                    cost.bytes += digits as usize + 2 * STEP_BYTES;
                }
                cost
            }
            Change::End { job } => {
                let chunks = jobs.get(job).map_or(0, |known| known.progress_stamps.len());
                Cost {
                    ops: 2 + chunks,
                    bytes: STEP_BYTES * (3 + chunks),
                }
            }
            Change::Put { write } => Cost {
                ops: 1,
                bytes: write.json_size(),
            },
        }
    }

    /// Adds a change to a draft. False: it has become void.
    fn add(&self, draft: &mut Draft, change: &Change, hosts: &Hosts, jobs: &Jobs) -> bool {
        match change {
            Change::Bind {
                host,
                task,
                attempt,
            } => {
                let Some(known) = hosts.get(host) else {
                    return false;
                };
                let Some(binding) = known.bindings.get(task) else {
                    return false;
                };
                if jobs.get(&task.job).is_none() || binding.attempt != *attempt {
                    return false;
                }
                if let Some(record) = edit(draft, known) {
                    record
                        .steps
                        .retain(|step| !same(step, task) || step.attempt == *attempt);
                    if !record.steps.iter().any(|step| same(step, task)) {
                        record.steps.push(Host::bound_task(task, binding));
                    }
                }
                draft.open.insert(task.job.clone());
                true
            }
            Change::Unbind {
                host,
                task,
                attempt,
                done,
            } => {
                if let Some(known) = hosts.get(host)
                    && let Some(record) = edit(draft, known)
                {
                    record
                        .steps
                        .retain(|step| !same(step, task) || step.attempt != *attempt);
                }
                if *done
                    && let Some(job) = jobs.get(&task.job)
                    && !job.ending
                {
                    draft.open.insert(task.job.clone());
                    let chunk = task.index / self.limits.chunk_tasks();
                    draft.chunks.insert((task.job.clone(), chunk), true);
                }
                true
            }
            Change::End { job } => {
                let Some(known) = jobs.get(job) else {
                    return false;
                };
                draft.open.insert(job.clone());
                draft.ended.insert(job.clone(), known.done.len());
                draft.chunks.retain(|(id, _), _| id != job);
                for chunk in known.progress_stamps.keys() {
                    draft.chunks.insert((job.clone(), *chunk), false);
                }
                true
            }
            Change::Mark { host } => {
                if let Some(known) = hosts.get(host)
                    && let Some(record) = edit(draft, known)
                {
                    record.returning = true;
                }
                true
            }
            Change::Forget { host } => {
                draft.hosts.insert(host.clone(), None);
                true
            }
            Change::Put { write } => {
                draft.puts.push(write.clone());
                true
            }
        }
    }

    fn compose(&self, draft: &Draft, leader_stamp: u64, hosts: &Hosts, jobs: &Jobs) -> Txn {
        let mut when = vec![Condition::new(records::LEADER, leader_stamp)];
        let mut writes = Vec::new();
        for job in &draft.open {
            let stamp = jobs.get(job).map_or(0, |known| known.stamp);
            when.push(Condition::new(records::open(job), stamp));
        }
        for (name, record) in &draft.hosts {
            let stamp = hosts.get(name).map_or(0, |host| host.stamp);
            when.push(Condition::new(records::host(name), stamp));
            match record {
                Some(record) if !record.steps.is_empty() || record.returning => {
                    writes.push(Write::set(records::host(name), record));
                }
                _ if stamp != 0 => writes.push(Write::remove(records::host(name))),
                _ => {}
            }
        }
        for ((id, chunk), put) in &draft.chunks {
            let Some(job) = jobs.get(id) else { continue };
            let stamp = job.progress_stamps.get(chunk).copied().unwrap_or(0);
            let key = records::progress(id, *chunk);
            when.push(Condition::new(key.clone(), stamp));
            if *put {
                let size = self.limits.chunk_tasks();
                let first = chunk * size;
                let last = (first + size).min(job.spec.tasks);
                let record =
                    ProgressRecord::encode(first, (first..last).map(|i| job.done.contains(i)));
                writes.push(Write::set(key, &record));
            } else {
                writes.push(Write::remove(key));
            }
        }
        for (id, done) in &draft.ended {
            when.push(Condition::new(records::over(id), 0));
            writes.push(Write::remove(records::open(id)));
            let record = OverRecord {
                ending: Ending::Done,
                done: *done,
            };
            writes.push(Write::set(records::over(id), &record));
        }
        writes.extend(draft.puts.iter().cloned());
        Txn { when, writes }
    }

    /// The transaction was committed: takes over the records, and returns its changes.
    pub fn committed(&mut self, stamp: u64, hosts: &mut Hosts, jobs: &mut Jobs) -> Vec<Change> {
        let Some(sent) = self.in_flight.take() else {
            return Vec::new();
        };
        for (name, record) in sent.hosts {
            if let Some(host) = hosts.get_mut(&name) {
                let kept = record.filter(|r| !r.steps.is_empty() || r.returning);
                host.stamp = if kept.is_some() { stamp } else { 0 };
                host.durable = kept.unwrap_or_else(|| host.blank_record());
            }
        }
        for ((id, chunk), put) in sent.chunks {
            if let Some(job) = jobs.get_mut(&id) {
                if put {
                    job.progress_stamps.insert(chunk, stamp);
                } else {
                    job.progress_stamps.remove(&chunk);
                }
            }
        }
        sent.changes
    }

    /// The transaction was certainly not executed: its changes go back to the head of the queue.
    pub fn not_executed(&mut self) {
        if let Some(sent) = self.in_flight.take() {
            for change in sent.changes.into_iter().rev() {
                self.queue.push_front(change);
            }
        }
    }

    /// The fate of the transaction was read back: binds that the records show are committed and
    /// returned; all other changes can be repeated and go back to the head of the queue. Binds
    /// that they do not show go back too; should the lost transaction be applied after all, the
    /// versions that they are conditional on will have changed.
    pub fn reread(&mut self, hosts: &Hosts) -> Vec<Change> {
        let Some(sent) = self.in_flight.take() else {
            return Vec::new();
        };
        let mut found = Vec::new();
        for change in sent.changes.into_iter().rev() {
            let written = match &change {
                Change::Bind {
                    host,
                    task,
                    attempt,
                } => hosts.get(host).is_some_and(|known| {
                    let steps = &known.durable.steps;
                    steps.iter().any(|s| same(s, task) && s.attempt == *attempt)
                }),
                _ => false,
            };
            if written {
                found.push(change);
            } else {
                self.queue.push_front(change);
            }
        }
        found.reverse();
        found
    }
}

fn same(step: &BoundTask, task: &TaskId) -> bool {
    step.index == task.index && step.job == task.job
}

/// The draft's copy of a host's record; `None` when the host is being forgotten.
fn edit<'a>(draft: &'a mut Draft, host: &Host) -> Option<&'a mut HostRecord> {
    draft
        .hosts
        .entry(host.name.clone())
        .or_insert_with(|| {
            Some(if host.stamp == 0 {
                HostRecord {
                    returning: false,
                    ..host.blank_record()
                }
            } else {
                host.durable.clone()
            })
        })
        .as_mut()
}
