//! The leader's writes: a queue of changes, folded into one transaction at a time.
//!
//! Bindings, their ends, marks of hosts and completed tasks go to a write-ahead log, a ring of keys
//! `log/<slot>`. Each transaction overwrites the oldest slot with a new segment, into which it
//! carries what the old one had that still counts; the ring grows only while too little of it is
//! free. Jobs that end and rentals are keys of their own, written in the same transaction.
//!
//! Every transaction is conditional on the Stamps of `leader`, of the slot, and of `open/<id>` of
//! every job that it binds tasks of or ends. So a deposed leader writes nothing and a cancel wins.
//! A condition that has failed once can never hold again, and nothing else is written before the
//! fate of a transaction is known; so none is ever applied late or twice.

use super::hosts::Hosts;
use super::jobs::Jobs;
use super::records::{self, Ending, OverRecord};
use super::ring::{Item, Ring, Slot};
use super::segment::{Builder, CHUNK, Segment, encode_chunk};
use crate::protocol::kv::{COMPARES_PER_WRITE, Compare, MAX_TXN_BYTES, Txn, WriteOp};
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
    /// A host is gone, with all bindings.
    Forget {
        /// Host.
        host: String,
    },
    /// Any other key is put or removed.
    Put {
        /// The write.
        write: WriteOp,
    },
}

/// A transaction that waits for its answer.
#[derive(Debug)]
struct InFlight {
    txn: Txn,
    changes: Vec<Change>,
    items: Vec<Item>,
    seq: u64,
    epoch: u64,
    slot: u32,
    /// The segment that it overwrites.
    over: Option<u64>,
    /// It was sent and not answered: it may have been executed, or may yet be.
    doubtful: bool,
}

/// Limits of a transaction.
#[derive(Debug, Clone, Copy)]
pub struct TxnLimits {
    /// Puts and deletes.
    pub ops: usize,
    /// Bytes of a value.
    pub value_bytes: usize,
}

/// The queue and the transaction on its way.
#[derive(Debug)]
pub struct Ledger {
    limits: TxnLimits,
    queue: VecDeque<Change>,
    in_flight: Option<InFlight>,
    void: Vec<(String, TaskId, u64)>,
    ring: Ring,
}

/// Share of the byte limits that a segment or a transaction fills at most.
const FILL: f64 = 0.9;

struct Draft {
    builder: Builder,
    changes: Vec<Change>,
    items: Vec<Item>,
    kinds: BTreeSet<String>,
    open: BTreeSet<String>,
    ended: BTreeMap<String, u32>,
    puts: Vec<WriteOp>,
    put_bytes: usize,
}

impl Draft {
    fn ops(&self) -> usize {
        1 + 2 * self.ended.len() + self.puts.len()
    }
    fn conditions(&self) -> usize {
        2 + self.open.len() + self.ended.len()
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
            ring: Ring::default(),
        }
    }

    /// Binds that became void before they were sent: host, task and attempt.
    pub fn take_void(&mut self) -> Vec<(String, TaskId, u64)> {
        std::mem::take(&mut self.void)
    }

    /// Takes over a segment that an earlier leader wrote; they come in the log's order.
    pub fn inherit(&mut self, key: &str, stamp: u64, segment: &Segment) {
        self.ring.inherit(key, stamp, segment);
    }

    /// A job is over: its completed tasks need not be kept.
    pub fn job_over(&mut self, job: &str) {
        self.ring.job_over(job);
    }

    /// Adds a change.
    pub fn push(&mut self, change: Change) {
        self.queue.push_back(change);
    }

    /// Changes that wait, in flight included.
    pub fn backlog(&self) -> usize {
        self.queue.len() + self.in_flight.as_ref().map_or(0, |t| t.changes.len())
    }

    /// Whether a transaction is on its way, or its fate unknown.
    pub fn busy(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Slots of the ring.
    pub fn slots(&self) -> usize {
        self.ring.slots.len()
    }

    /// The transaction whose fate is unknown, to be sent once more as it was.
    pub fn again(&self) -> Option<Txn> {
        let sent = self.in_flight.as_ref().filter(|sent| sent.doubtful)?;
        Some(sent.txn.clone())
    }

    /// Forms the next transaction of at most `budget` writes, if there is anything to write.
    pub fn next(
        &mut self,
        leader_stamp: u64,
        hosts: &Hosts,
        jobs: &Jobs,
        budget: usize,
    ) -> Option<Txn> {
        if self.in_flight.is_some() || budget == 0 || self.queue.is_empty() {
            return None;
        }
        let seq = self.ring.next_seq;
        let mut draft = Draft {
            builder: Builder::new(leader_stamp, seq),
            changes: Vec::new(),
            items: Vec::new(),
            kinds: BTreeSet::new(),
            open: BTreeSet::new(),
            ended: BTreeMap::new(),
            puts: Vec::new(),
            put_bytes: 0,
        };
        let (over, slot, stamp) = self.choose_slot(&mut draft, hosts, jobs);
        let limit = (self.limits.value_bytes as f64 * FILL) as usize;
        while let Some(change) = self.queue.front() {
            if !self.fits(&draft, change, hosts, jobs, budget, limit) {
                break;
            }
            let Some(change) = self.queue.pop_front() else {
                break;
            };
            if add(&mut draft, &self.ring, &change, hosts, jobs) {
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
        if draft.changes.is_empty() && draft.items.is_empty() {
            return None;
        }
        self.ring.next_seq = seq + 1;
        let mut when = vec![
            Compare::new(records::LEADER, leader_stamp),
            Compare::new(records::log(slot), stamp),
        ];
        for job in &draft.open {
            let stamp = jobs.get(job).map_or(0, |known| known.stamp);
            when.push(Compare::new(records::open(job), stamp));
        }
        let segment = draft.builder.finish();
        let mut writes = vec![WriteOp::put(records::log(slot), &segment)];
        for (id, done) in &draft.ended {
            when.push(Compare::new(records::over(id), 0));
            writes.push(WriteOp::delete(records::open(id)));
            let record = OverRecord {
                ending: Ending::Done,
                done: *done,
            };
            writes.push(WriteOp::put(records::over(id), &record));
        }
        writes.append(&mut draft.puts);
        let txn = Txn { compares: when, writes };
        self.in_flight = Some(InFlight {
            txn: txn.clone(),
            changes: draft.changes,
            items: draft.items,
            seq,
            epoch: leader_stamp,
            slot,
            over,
            doubtful: false,
        });
        Some(txn)
    }

    /// The slot for the next segment: the oldest, of which all that still counts is carried over,
    /// or a new one while the ring is too full. Returns the segment that is overwritten, the slot
    /// and its version.
    fn choose_slot(
        &self,
        draft: &mut Draft,
        hosts: &Hosts,
        jobs: &Jobs,
    ) -> (Option<u64>, u32, u64) {
        let oldest = self.ring.slots.iter().next();
        let large_enough = self.ring.is_large_enough(self.limits.value_bytes);
        let Some((seq, oldest)) = oldest.filter(|_| large_enough) else {
            // Slots are numbered without gaps and never removed.
            return (None, self.ring.slots.len() as u32, 0);
        };
        for item in &oldest.items {
            carry(draft, item, hosts, jobs);
        }
        (Some(*seq), oldest.number, oldest.stamp)
    }

    /// Whether one more change fits into a draft.
    fn fits(
        &self,
        draft: &Draft,
        change: &Change,
        hosts: &Hosts,
        jobs: &Jobs,
        budget: usize,
        limit: usize,
    ) -> bool {
        let team = |job: &str| jobs.get(job).map_or("", |known| &known.spec.team);
        let entry = |host: &String, job: &str| {
            hosts
                .get(host)
                .map_or(2 * host.len() + job.len() + 128, |known| {
                    Builder::entry_bytes(known, job, team(job))
                })
        };
        let (ops, bytes, put_bytes) = match change {
            Change::Bind { host, task, .. } => (0, entry(host, &task.job), 0),
            Change::Unbind { host, task, .. } => {
                (0, entry(host, &task.job) + CHUNK as usize / 4, 0)
            }
            Change::Mark { host } | Change::Forget { host } => (0, entry(host, ""), 0),
            Change::End { job } => (2, 0, 2 * job.len() + 256),
            Change::Put { write } => (1, 0, write.json_size()),
        };
        let txn_limit = (MAX_TXN_BYTES as f64 * FILL) as usize;
        let conditions = COMPARES_PER_WRITE * self.limits.ops;
        // A first change always goes in where there is room at all, so that nothing is stuck.
        draft.ops() + ops <= self.limits.ops.min(budget.max(3))
            && draft.conditions() + 2 <= conditions
            && draft.builder.bytes() + bytes <= limit
            && self.limits.value_bytes + 64 * draft.conditions() + draft.put_bytes + put_bytes
                <= txn_limit
    }

    /// The transaction was committed: returns its changes.
    pub fn committed(&mut self, stamp: u64) -> Vec<Change> {
        let Some(sent) = self.in_flight.take() else {
            return Vec::new();
        };
        let slot = Slot {
            number: sent.slot,
            stamp,
            items: BTreeSet::new(),
        };
        self.ring.slots.insert(sent.seq, slot);
        for item in sent.items {
            self.ring.put(item, sent.seq);
        }
        if let Some(over) = sent.over
            && let Some(old) = self.ring.slots.remove(&over)
        {
            for item in old.items {
                self.ring.place.remove(&item);
            }
        }
        for change in &sent.changes {
            match change {
                Change::Unbind { host, task, .. } => {
                    self.ring.drop(&Item::Bound(host.clone(), task.clone()));
                }
                Change::Forget { host } => self.ring.host_gone(host),
                Change::End { job } => self.ring.job_over(job),
                _ => {}
            }
        }
        sent.changes
    }

    /// The transaction was not answered: it may have been executed, or may yet be.
    pub fn unanswered(&mut self) {
        if let Some(sent) = &mut self.in_flight {
            sent.doubtful = true;
        }
    }

    /// Whether the transaction on its way has been sent before without an answer.
    pub fn doubtful(&self) -> bool {
        self.in_flight.as_ref().is_some_and(|sent| sent.doubtful)
    }

    /// The key that tells whether a transaction of unknown fate was executed.
    pub fn witness(&self) -> Option<String> {
        Some(records::log(self.in_flight.as_ref()?.slot))
    }

    /// Whether this value of the witness is that of the transaction on its way.
    pub fn is_witness(&self, segment: &Segment) -> bool {
        self.in_flight
            .as_ref()
            .is_some_and(|sent| (sent.epoch, sent.seq) == (segment.epoch, segment.seq))
    }

    /// The transaction was certainly not executed and never will be: its changes go back to the
    /// head of the queue.
    pub fn not_executed(&mut self) {
        if let Some(sent) = self.in_flight.take() {
            for change in sent.changes.into_iter().rev() {
                self.queue.push_front(change);
            }
        }
    }
}

/// Copies what still counts of an old segment into a draft.
fn carry(draft: &mut Draft, item: &Item, hosts: &Hosts, jobs: &Jobs) {
    match item {
        Item::Kind(name) => {
            let Some(host) = hosts.get(name) else { return };
            draft.builder.kind(host, host.marked);
            draft.kinds.insert(name.clone());
        }
        Item::Bound(name, task) => {
            let known = hosts.get(name).and_then(|host| host.bindings.get(task));
            let Some(b) = known else { return };
            draft.builder.bind(
                name,
                (&task.job, task.index),
                (&b.team, b.need),
                (b.attempt, b.tenure),
            );
        }
        Item::Done(id, chunk) => {
            let Some(job) = jobs.get(id) else { return };
            let bits = encode_chunk(&job.done, *chunk, job.spec.tasks);
            draft.builder.done(id, *chunk, bits);
        }
    }
    draft.items.push(item.clone());
}

/// Adds a change to a draft. False: it has become void.
fn add(draft: &mut Draft, ring: &Ring, change: &Change, hosts: &Hosts, jobs: &Jobs) -> bool {
    match change {
        Change::Bind {
            host: name,
            task,
            attempt,
        } => {
            let Some(host) = hosts.get(name) else {
                return false;
            };
            let Some(b) = host.bindings.get(task) else {
                return false;
            };
            if jobs.get(&task.job).is_none() || b.attempt != *attempt {
                return false;
            }
            let kind = Item::Kind(name.clone());
            if !ring.place.contains_key(&kind) && draft.kinds.insert(name.clone()) {
                draft.builder.kind(host, false);
                draft.items.push(kind);
            }
            draft.builder.bind(
                name,
                (&task.job, task.index),
                (&b.team, b.need),
                (b.attempt, b.tenure),
            );
            draft.items.push(Item::Bound(name.clone(), task.clone()));
            draft.open.insert(task.job.clone());
        }
        Change::Unbind {
            host,
            task,
            attempt,
            done,
        } => {
            draft.builder.end(host, &task.job, task.index, *attempt);
            let chunk = task.index / CHUNK;
            let item = Item::Done(task.job.clone(), chunk);
            if *done
                && let Some(job) = jobs.get(&task.job)
                && !job.ending
                && !draft.items.contains(&item)
            {
                let bits = encode_chunk(&job.done, chunk, job.spec.tasks);
                draft.builder.done(&task.job, chunk, bits);
                draft.items.push(item);
            }
        }
        Change::End { job } => {
            let Some(known) = jobs.get(job) else {
                return false;
            };
            draft.open.insert(job.clone());
            draft.ended.insert(job.clone(), known.done.len());
        }
        Change::Mark { host: name } => {
            if let Some(host) = hosts.get(name) {
                draft.builder.kind(host, true);
                draft.kinds.insert(name.clone());
                draft.items.push(Item::Kind(name.clone()));
            }
        }
        Change::Forget { host } => draft.builder.gone(host),
        Change::Put { write } => {
            draft.put_bytes += write.json_size();
            draft.puts.push(write.clone());
        }
    }
    true
}
