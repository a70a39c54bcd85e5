//! Submissions and cancellations, written to the state service in batches.

use super::batches::InFlightBatches;
use super::burst_size;
use super::open_jobs::OpenJobs;
use super::pending_request::{PendingRequest, RequestKind, RequestQueue};
use crate::bookkeeping::rate_limit::TokenBucket;
use crate::bookkeeping::records::{self, FinishedRecord, JobOutcome};
use crate::coordination::effects::{Effects, KvRequestContext};
use crate::protocol::kv::{Compare, KvRequest, MAX_TXN_BYTES, Txn, WriteOp};

/// Maximum size of the writes in one transaction, in bytes. A transaction with a single request may be larger.
const MAX_BATCH_BYTES: usize = MAX_TXN_BYTES / 2;

/// Requests that wait to be written, and the transactions in flight.
#[derive(Debug)]
pub(super) struct JobWrites {
    /// Requests that wait to be written.
    pub(super) queue: RequestQueue,
    in_flight: InFlightBatches,
    /// Rate limit of this controller's write operations on behalf of users.
    budget: TokenBucket,
    max_txn_ops: usize,
    /// Write operations sent since the last call of `take_operations_sent`.
    operations_sent: f64,
}

/// The writes of one request.
struct RequestedWrites {
    /// Mod revision that the job's `open/` key must have, or 0 if the key must not exist.
    open_mod_revision: u64,
    operations: Vec<WriteOp>,
    /// The terminal state of the job, if these writes finish it.
    finished: Option<FinishedRecord>,
    /// Size of the operations in bytes.
    bytes: usize,
}

/// A transaction under construction.
#[derive(Default)]
struct BatchDraft {
    txn: Txn,
    requests: Vec<PendingRequest>,
    bytes: usize,
}

impl JobWrites {
    /// Creates an empty queue. `budget` limits the rate of write operations.
    pub(super) fn new(budget: TokenBucket, max_txn_ops: usize) -> JobWrites {
        JobWrites {
            queue: RequestQueue::default(),
            in_flight: InFlightBatches::default(),
            budget,
            max_txn_ops,
            operations_sent: 0.0,
        }
    }

    /// Sets the rate limit of write operations.
    pub(super) fn set_rate(&mut self, per_s: f64, now: f64) {
        self.budget.set_rate(per_s, burst_size(per_s), now);
    }

    /// Returns the number of write operations sent since the previous call.
    pub(super) fn take_operations_sent(&mut self) -> f64 {
        std::mem::take(&mut self.operations_sent)
    }

    /// Sends the next transaction if one is due. Returns the cancellations of jobs that are no longer known to be
    /// open; the caller must look these jobs up.
    pub(super) fn send_due(
        &mut self,
        open: &OpenJobs,
        request_budget: &mut TokenBucket,
        request_timeout_s: f64,
        effects: &mut Effects,
        now: f64,
    ) -> Vec<PendingRequest> {
        if self.queue.is_empty() || !self.in_flight.may_send(request_timeout_s, now) {
            return Vec::new();
        }
        let available = self.budget.available(now).min(self.max_txn_ops as f64);
        let mut not_open = Vec::new();
        let draft = self.fill_batch(open, available as usize, &mut not_open);
        if !draft.requests.is_empty() {
            let operations = draft.txn.writes.len() as f64;
            self.budget.take_with_debt(operations, now);
            self.operations_sent += operations;
            request_budget.take_with_debt(1.0, now);
            let context = KvRequestContext::JobWrites(self.in_flight.add(draft.requests, now));
            effects.call_kv(context, KvRequest::Txn(draft.txn), request_timeout_s, now);
        }
        not_open
    }

    /// Moves requests from the queue into a transaction with at most `max_operations` writes. Cancellations of jobs
    /// that are not known to be open are moved to `not_open`. A request waits for a later transaction if this one
    /// contains its job already or has no capacity for it.
    fn fill_batch(
        &mut self,
        open: &OpenJobs,
        max_operations: usize,
        not_open: &mut Vec<PendingRequest>,
    ) -> BatchDraft {
        let mut draft = BatchDraft::default();
        let mut postponed = Vec::new();
        while let Some(pending) = self.queue.pop() {
            if draft.contains_job(&pending.job) {
                postponed.push(pending);
                continue;
            }
            let Some(writes) = requested_writes(&pending, open) else {
                not_open.push(pending);
                continue;
            };
            if !draft.has_capacity(&writes, max_operations) {
                postponed.push(pending);
                break;
            }
            draft.add(pending, writes);
        }
        self.queue.put_back(postponed);
        draft
    }

    /// Removes a batch whose transaction has a response or has timed out, and returns its requests.
    pub(super) fn complete(&mut self, batch: u64) -> Vec<PendingRequest> {
        self.in_flight.complete(batch)
    }
}

impl BatchDraft {
    /// Whether the transaction already contains a request for this job. Two requests for the same job must not share
    /// a transaction.
    fn contains_job(&self, job: &str) -> bool {
        self.requests.iter().any(|other| other.job == job)
    }

    /// Whether these writes fit. The size in bytes is not limited for the first request.
    fn has_capacity(&self, writes: &RequestedWrites, max_operations: usize) -> bool {
        let operations = self.txn.writes.len() + writes.operations.len();
        let bytes = self.bytes + writes.bytes;
        operations <= max_operations && (self.requests.is_empty() || bytes <= MAX_BATCH_BYTES)
    }

    fn add(&mut self, mut pending: PendingRequest, writes: RequestedWrites) {
        self.bytes += writes.bytes;
        let open_key = records::open_key(&pending.job);
        let finished_key = records::finished_key(&pending.job);
        self.txn
            .compares
            .push(Compare::new(open_key, writes.open_mod_revision));
        self.txn.compares.push(Compare::new(finished_key, 0));
        self.txn.writes.extend(writes.operations);
        pending.written_state = writes.finished;
        self.requests.push(pending);
    }
}

impl RequestedWrites {
    fn new(
        open_mod_revision: u64,
        operations: Vec<WriteOp>,
        finished: Option<FinishedRecord>,
    ) -> RequestedWrites {
        RequestedWrites {
            open_mod_revision,
            finished,
            bytes: operations.iter().map(WriteOp::json_size).sum(),
            operations,
        }
    }
}

/// Builds the writes of a submission or cancellation. Returns `None` for the cancellation of a job that is not known
/// to be open.
fn requested_writes(pending: &PendingRequest, open: &OpenJobs) -> Option<RequestedWrites> {
    let open_key = records::open_key(&pending.job);
    if let RequestKind::Submit(spec) = &pending.kind {
        let operations = vec![WriteOp::put(open_key, spec.as_ref())];
        return Some(RequestedWrites::new(0, operations, None));
    }
    let job = open.get(&pending.job)?;
    let finished_key = records::finished_key(&pending.job);
    let record = aborted_record(&pending.job, open);
    let operations = vec![
        WriteOp::delete(open_key),
        WriteOp::put(finished_key, &record),
    ];
    Some(RequestedWrites::new(
        job.mod_revision,
        operations,
        Some(record),
    ))
}

/// Builds the record of a job that is being cancelled.
fn aborted_record(job: &str, open: &OpenJobs) -> FinishedRecord {
    FinishedRecord {
        outcome: JobOutcome::Aborted,
        completed_tasks: open.progress(job).completed_tasks,
    }
}
