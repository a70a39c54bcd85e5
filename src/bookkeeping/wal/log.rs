//! The queue of changes, and the transaction that is in flight.

use super::draft::{DraftedTransaction, Registries, SegmentDraft, TxnLimits};
use super::log_entry::{LogEntry, RejectedBinding};
use super::ring::{SegmentRing, TargetSlot};
use super::segment::Segment;
use crate::bookkeeping::jobs::Jobs;
use crate::bookkeeping::records;
use crate::bookkeeping::workers::Workers;
use crate::protocol::kv::Txn;
use std::collections::VecDeque;

/// A transaction that the caller is to send or has sent, and whose outcome has not been reported yet.
#[derive(Debug)]
struct InFlight {
    transaction: DraftedTransaction,
    seq: u64,
    epoch: u64,
    slot: TargetSlot,
    /// There was no usable response: the transaction may have been executed, or may be executed later.
    outcome_unknown: bool,
}

/// The leader's write-ahead log: a queue of changes to commit, at most one transaction in flight, and the ring of
/// committed segments.
#[derive(Debug)]
pub struct WriteAheadLog {
    limits: TxnLimits,
    queue: VecDeque<LogEntry>,
    in_flight: Option<InFlight>,
    rejected_bindings: Vec<RejectedBinding>,
    ring: SegmentRing,
}

impl WriteAheadLog {
    /// An empty log.
    pub fn new(limits: TxnLimits) -> WriteAheadLog {
        WriteAheadLog {
            limits,
            queue: VecDeque::new(),
            in_flight: None,
            rejected_bindings: Vec::new(),
            ring: SegmentRing::default(),
        }
    }

    /// Returns the bindings that became invalid before they were sent, and clears the list of them.
    pub fn take_rejected_bindings(&mut self) -> Vec<RejectedBinding> {
        std::mem::take(&mut self.rejected_bindings)
    }

    /// Adds a segment that an earlier leader committed. The caller must pass segments in the order of their sequence
    /// numbers.
    pub fn replay_segment(&mut self, key: &str, mod_revision: u64, segment: &Segment) {
        self.ring.replay_segment(key, mod_revision, segment);
    }

    /// Drops the completed tasks of a job that has ended from the live entries, so that they are not copied to new
    /// segments.
    pub fn remove_job(&mut self, job: &str) {
        self.ring.remove_job(job);
    }

    /// Appends a change to the queue.
    pub fn push(&mut self, change: LogEntry) {
        self.queue.push_back(change);
    }

    /// Number of changes that are not committed yet, including those in flight.
    pub fn backlog(&self) -> usize {
        let in_flight = self.in_flight.as_ref();
        self.queue.len() + in_flight.map_or(0, |sent| sent.transaction.changes.len())
    }

    /// Whether a transaction is in flight, including one of unknown outcome.
    pub fn is_busy(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Number of slots in the ring.
    pub fn slots(&self) -> usize {
        self.ring.len()
    }

    /// The transaction in flight, if its outcome is unknown: it must be sent again unchanged.
    pub fn transaction_to_retry(&self) -> Option<Txn> {
        let sent = self
            .in_flight
            .as_ref()
            .filter(|sent| sent.outcome_unknown)?;
        Some(sent.transaction.txn.clone())
    }

    /// Builds the next transaction. `None` if one is in flight, if `budget` is 0, or if there is nothing to write. The
    /// transaction has at most `budget` writes, or three if the budget is lower, within the limits of the log. The
    /// caller sends the transaction and reports its outcome.
    pub fn next_transaction(
        &mut self,
        epoch: u64,
        workers: &Workers,
        jobs: &Jobs,
        budget: usize,
    ) -> Option<Txn> {
        if self.in_flight.is_some() || budget == 0 || self.queue.is_empty() {
            return None;
        }
        let registries = Registries { workers, jobs };
        let slot = self.ring.target_slot(self.limits.max_value_bytes);
        let mut draft = SegmentDraft::new(epoch, self.ring.next_seq());
        if let Some(overwritten_seq) = slot.overwritten_seq {
            for entry in self.ring.live_entries(overwritten_seq) {
                draft.carry_over(entry, registries);
            }
        }
        self.move_queued_changes(&mut draft, registries, budget);
        if draft.is_empty() {
            return None;
        }
        let transaction = draft.finish(slot, jobs);
        let txn = transaction.txn.clone();
        self.in_flight = Some(InFlight {
            transaction,
            seq: self.ring.take_next_seq(),
            epoch,
            slot,
            outcome_unknown: false,
        });
        Some(txn)
    }

    /// Moves as many changes as fit from the head of the queue into a draft. Changes that are no longer valid are
    /// dropped; the bindings among them are added to `rejected_bindings`.
    fn move_queued_changes(
        &mut self,
        draft: &mut SegmentDraft,
        registries: Registries,
        budget: usize,
    ) {
        while let Some(change) = self.queue.front() {
            if !draft.fits(change, registries, self.limits, budget) {
                break;
            }
            let Some(change) = self.queue.pop_front() else {
                break;
            };
            if let Err(LogEntry::Bind {
                worker,
                task,
                attempt,
            }) = draft.add(change, &self.ring, registries)
            {
                self.rejected_bindings.push(RejectedBinding {
                    worker,
                    task,
                    attempt,
                });
            }
        }
    }

    /// Records that the transaction in flight was committed at this revision, and returns its changes. Returns none if
    /// no transaction is in flight.
    pub fn complete_in_flight(&mut self, mod_revision: u64) -> Vec<LogEntry> {
        let Some(sent) = self.in_flight.take() else {
            return Vec::new();
        };
        let DraftedTransaction {
            changes,
            live_entries,
            ..
        } = sent.transaction;
        self.ring
            .commit_segment(sent.seq, sent.slot, mod_revision, live_entries);
        for change in &changes {
            self.ring.apply(change);
        }
        changes
    }

    /// Records that there was no usable response to the transaction in flight: it may have been executed, or may be
    /// executed later.
    pub fn mark_outcome_unknown(&mut self) {
        if let Some(sent) = &mut self.in_flight {
            sent.outcome_unknown = true;
        }
    }

    /// Whether the outcome of the transaction in flight is unknown.
    pub fn is_outcome_unknown(&self) -> bool {
        self.in_flight
            .as_ref()
            .is_some_and(|sent| sent.outcome_unknown)
    }

    /// The key of the slot that the transaction in flight writes; `None` if no transaction is in flight. The value of
    /// the key shows whether the transaction was executed.
    pub fn read_back_key(&self) -> Option<String> {
        Some(records::log_key(self.in_flight.as_ref()?.slot.number))
    }

    /// Whether a segment that was read from [`read_back_key`](WriteAheadLog::read_back_key) was written by the
    /// transaction in flight.
    pub fn is_in_flight_segment(&self, segment: &Segment) -> bool {
        self.in_flight
            .as_ref()
            .is_some_and(|sent| (sent.epoch, sent.seq) == (segment.epoch, segment.seq))
    }

    /// Records that the transaction in flight was not executed and never will be, and puts its changes back at the
    /// head of the queue.
    pub fn requeue_in_flight(&mut self) {
        if let Some(sent) = self.in_flight.take() {
            for change in sent.transaction.changes.into_iter().rev() {
                self.queue.push_front(change);
            }
        }
    }
}
