//! The commit pipeline: sends log entries to the state service in transactions, one at a time. The leader acts on an
//! entry, for example starts the task of a new binding, only once its transaction is committed.

use super::{LEADER_STATE_SHARE, Leader, LeaderEvent};
use crate::bookkeeping::jobs::Jobs;
use crate::bookkeeping::rate_limit::TokenBucket;
use crate::bookkeeping::records::{self, FinishedRecord, JobOutcome};
use crate::bookkeeping::wal::{LogEntry, RejectedBinding, Segment, TxnLimits, WriteAheadLog};
use crate::bookkeeping::workers::Workers;
use crate::coordination::effects::{Effects, KvRequestContext};
use crate::protocol::cbor;
use crate::protocol::kv::{KvRequest, KvResponse};
use crate::settings::Settings;

/// Shortest time between two transactions, as the number of writes by which the leader's write budget refills in that
/// time.
const WRITES_BETWEEN_COMMITS: f64 = 2.0;

/// The outcome of a transaction, from the response to it or to the read-back of its segment. The read-back
/// follows a transaction of unknown outcome.
#[derive(Debug)]
pub(super) enum CommitOutcome {
    /// These entries are durable, in this order.
    Committed(Vec<LogEntry>),
    /// Another controller has written the leader's key or the log: this controller must stop leading.
    Deposed,
    /// These jobs were closed by another writer, for example by a cancellation. The entries are queued
    /// again; the next transaction omits those that need the closed jobs to be open.
    JobsClosed(Vec<String>),
    /// The outcome is not known yet, or the transaction was not executed; the pipeline tries again.
    Pending,
}

/// Writes the write-ahead log to the state service, within the leader's share of the state service's limits.
/// At most one request is in flight.
#[derive(Debug)]
pub(super) struct CommitPipeline {
    epoch: u64,
    log: WriteAheadLog,
    request_budget: TokenBucket,
    write_budget: TokenBucket,
    heartbeat_interval_s: f64,
    /// Shortest time between two transactions, in seconds.
    commit_interval_s: f64,
    /// A transaction, or the read-back of its segment, is in flight.
    in_flight: bool,
    /// No transaction before this monotonic time, in seconds.
    next_commit_at: f64,
    /// The keys whose compares failed when the transaction of unknown outcome was sent again. Kept until its segment
    /// has been read back.
    failed_compares: Vec<String>,
}

impl CommitPipeline {
    /// Creates an empty pipeline for a leader of this epoch.
    pub(super) fn new(settings: &Settings, epoch: u64) -> CommitPipeline {
        let state = &settings.deployment.state;
        let limits = TxnLimits {
            max_writes: state.txn_ops,
            max_value_bytes: (state.value_kb * 1024.0) as usize,
        };
        let leader_budget =
            |limit: f64| TokenBucket::new(limit * LEADER_STATE_SHARE, limit * LEADER_STATE_SHARE);
        CommitPipeline {
            epoch,
            log: WriteAheadLog::new(limits),
            request_budget: leader_budget(state.rps),
            write_budget: leader_budget(state.write_rps),
            heartbeat_interval_s: settings.deployment.workers.heartbeat_interval_s,
            commit_interval_s: WRITES_BETWEEN_COMMITS / (state.write_rps * LEADER_STATE_SHARE),
            in_flight: false,
            next_commit_at: 0.0,
            failed_compares: Vec::new(),
        }
    }

    /// Queues an entry for the next transaction.
    pub(super) fn push(&mut self, entry: LogEntry) {
        self.log.push(entry);
    }

    /// Returns the number of entries that are not durable yet, those in flight included.
    pub(super) fn backlog(&self) -> usize {
        self.log.backlog()
    }

    /// Drops from the log the completed tasks of a job that has ended.
    pub(super) fn remove_job(&mut self, job: &str) {
        self.log.remove_job(job);
    }

    /// Adds to the log a segment that an earlier leader wrote. Segments must be added in the log's order.
    pub(super) fn replay_segment(&mut self, key: &str, mod_revision: u64, segment: &Segment) {
        self.log.replay_segment(key, mod_revision, segment);
    }

    /// Charges to the leader's request budget a request that another component sends.
    pub(super) fn charge_request(&mut self, now: f64) {
        self.request_budget.take_with_debt(1.0, now);
    }

    /// Returns the timeout of requests to the state service.
    pub(super) fn request_timeout_s(&self) -> f64 {
        self.heartbeat_interval_s / 2.0
    }

    /// Sends the next transaction if there is one and the budgets allow it, or sends the one of unknown outcome
    /// again. Returns the new bindings that are rejected instead of being written, since they are no longer valid,
    /// for example because their job has ended.
    pub(super) fn poll(
        &mut self,
        workers: &Workers,
        jobs: &Jobs,
        effects: &mut Effects,
        now: f64,
    ) -> Vec<RejectedBinding> {
        if self.in_flight || now < self.next_commit_at || self.request_budget.available(now) < 1.0 {
            return Vec::new();
        }
        let txn = self.log.transaction_to_retry().or_else(|| {
            let budget = self.write_budget.available(now).max(0.0) as usize;
            self.log.next_transaction(self.epoch, workers, jobs, budget)
        });
        if let Some(txn) = txn {
            self.request_budget.take_with_debt(1.0, now);
            self.write_budget
                .take_with_debt(txn.writes.len() as f64, now);
            self.in_flight = true;
            // The pause lets several entries share one transaction. When the write budget runs low,
            // the next transaction waits for longer and carries more entries.
            self.next_commit_at = now + self.commit_interval_s;
            let context = KvRequestContext::LogAppend(self.epoch);
            effects.call_kv(context, KvRequest::Txn(txn), self.request_timeout_s(), now);
        }
        self.log.take_rejected_bindings()
    }

    /// Handles the response to a transaction.
    pub(super) fn on_txn_response(
        &mut self,
        response: KvResponse,
        effects: &mut Effects,
        now: f64,
    ) -> CommitOutcome {
        self.in_flight = false;
        match response {
            KvResponse::Committed(mod_revision) => {
                tracing::debug!(mod_revision, "commit applied");
                CommitOutcome::Committed(self.log.complete_in_flight(mod_revision))
            }
            KvResponse::CompareFailed(failed) => self.on_compare_failed(failed, effects, now),
            KvResponse::RateLimited | KvResponse::Unavailable => {
                // This request was not executed. If it repeats a transaction of unknown outcome, the earlier request
                // may have been executed or may still be; otherwise the entries are queued again.
                if !self.log.is_outcome_unknown() {
                    self.log.requeue_in_flight();
                }
                self.next_commit_at = now + self.heartbeat_interval_s / 10.0;
                CommitOutcome::Pending
            }
            KvResponse::InvalidRequest => {
                tracing::error!("commit rejected: state service reported a malformed transaction");
                self.log.requeue_in_flight();
                self.next_commit_at = now + self.heartbeat_interval_s;
                CommitOutcome::Pending
            }
            // The transaction may have been executed, or may still be executed later.
            _ => {
                tracing::info!("commit outcome unknown");
                self.log.mark_outcome_unknown();
                CommitOutcome::Pending
            }
        }
    }

    fn on_compare_failed(
        &mut self,
        failed: Vec<String>,
        effects: &mut Effects,
        now: f64,
    ) -> CommitOutcome {
        if failed.iter().any(|key| key == records::LEADER_KEY) {
            return CommitOutcome::Deposed;
        }
        match self.log.read_back_key() {
            // This transaction was sent before, and may have been executed then, which makes its compares
            // fail now. Reading the segment back shows whether it was.
            Some(key) if self.log.is_outcome_unknown() => {
                self.failed_compares = failed;
                self.read_back(key, effects, now);
                CommitOutcome::Pending
            }
            _ => self.reject_in_flight(&failed),
        }
    }

    fn read_back(&mut self, key: String, effects: &mut Effects, now: f64) {
        self.in_flight = true;
        self.request_budget.take_with_debt(1.0, now);
        let context = KvRequestContext::LogReadBack(self.epoch);
        effects.call_kv(context, KvRequest::Get(key), self.request_timeout_s(), now);
    }

    /// Handles the response to the read-back, which shows whether a transaction of unknown outcome was
    /// executed.
    pub(super) fn on_read_back_response(
        &mut self,
        response: &KvResponse,
        effects: &mut Effects,
        now: f64,
    ) -> CommitOutcome {
        self.in_flight = false;
        let own_revision = match response {
            KvResponse::Value(item) => cbor::from_value::<Segment>(&item.value)
                .is_ok_and(|segment| self.log.is_in_flight_segment(&segment))
                .then_some(item.mod_revision),
            KvResponse::NotFound => None,
            _ => {
                if let Some(key) = self.log.read_back_key() {
                    self.read_back(key, effects, now);
                }
                return CommitOutcome::Pending;
            }
        };
        match own_revision {
            Some(mod_revision) => {
                CommitOutcome::Committed(self.log.complete_in_flight(mod_revision))
            }
            None => {
                let failed = std::mem::take(&mut self.failed_compares);
                self.reject_in_flight(&failed)
            }
        }
    }

    /// Handles the rejection of the transaction in flight because the compares of the `failed` keys failed: it was
    /// not executed and never will be. Its entries are queued again, unless this controller is deposed.
    fn reject_in_flight(&mut self, failed: &[String]) -> CommitOutcome {
        tracing::info!(?failed, "commit rejected: compare failed");
        if failed
            .iter()
            .any(|key| key.starts_with(records::LOG_PREFIX))
        {
            // Another controller has written the log; this one must not write it any more.
            return CommitOutcome::Deposed;
        }
        self.log.requeue_in_flight();
        // A compare of a job's key fails only if the job has ended.
        let closed = failed.iter().filter_map(|key| {
            key.strip_prefix(records::OPEN_PREFIX)
                .or_else(|| key.strip_prefix(records::FINISHED_PREFIX))
        });
        CommitOutcome::JobsClosed(closed.map(str::to_owned).collect())
    }
}

impl Leader {
    /// Sends queued log entries, and removes from the tables the bindings that were rejected instead of being
    /// written. Does nothing during recovery.
    pub(super) fn commit_pending(&mut self, effects: &mut Effects, now: f64) {
        if self.is_recovering() {
            return;
        }
        let rejected = self.commits.poll(&self.workers, &self.jobs, effects, now);
        for binding in rejected {
            self.drop_binding(&binding.worker, &binding.task, binding.attempt, now);
        }
    }

    /// Handles the response to a transaction.
    pub fn on_commit_response(&mut self, response: KvResponse, effects: &mut Effects, now: f64) {
        let outcome = self.commits.on_txn_response(response, effects, now);
        self.apply_commit_outcome(outcome, now);
    }

    /// Handles the response to the read-back of a transaction of unknown outcome.
    pub fn on_commit_read_back(&mut self, response: KvResponse, effects: &mut Effects, now: f64) {
        let outcome = self.commits.on_read_back_response(&response, effects, now);
        self.apply_commit_outcome(outcome, now);
    }

    fn apply_commit_outcome(&mut self, outcome: CommitOutcome, now: f64) {
        match outcome {
            CommitOutcome::Committed(entries) => {
                for entry in entries {
                    self.apply_entry(&entry, now);
                }
            }
            CommitOutcome::Deposed => self.emit(LeaderEvent::Deposed),
            CommitOutcome::JobsClosed(jobs) => {
                for job in jobs {
                    self.on_job_closed(&job);
                    self.emit(LeaderEvent::JobClosed { job });
                }
            }
            CommitOutcome::Pending => {}
        }
    }

    /// Applies a committed entry to the tables.
    pub(super) fn apply_entry(&mut self, entry: &LogEntry, now: f64) {
        match entry {
            LogEntry::Bind {
                worker,
                task,
                attempt,
            } => {
                let known = self.workers.get_mut(worker);
                if let Some(binding) = known.and_then(|known| known.bindings.get_mut(task))
                    && binding.attempt == *attempt
                {
                    binding.durable = true;
                    self.dispatcher.mark_due(worker);
                }
            }
            LogEntry::Unbind {
                worker,
                task,
                attempt,
                ..
            } => self.drop_binding(worker, task, *attempt, now),
            LogEntry::FinishJob { job } => {
                tracing::debug!(job, "job completed");
                // The job is missing if the watch has shown its end first.
                if let Some(known) = self.jobs.remove(job) {
                    let record = FinishedRecord {
                        outcome: JobOutcome::Done,
                        completed_tasks: known.completed().len(),
                    };
                    self.emit(LeaderEvent::JobFinished {
                        job: job.clone(),
                        record,
                    });
                    self.evict_tasks_of(&known);
                }
            }
            LogEntry::RecordTermination { worker } => {
                if let Some(known) = self.workers.get_mut(worker) {
                    known.termination_recorded = true;
                }
            }
            LogEntry::RemoveWorker { worker } => {
                // A record that was read again after the instance was deleted may have added bindings; these are
                // removed as well.
                self.drop_all_bindings(worker, now);
                self.workers.remove(worker);
                self.dispatcher.remove_worker(worker);
            }
            LogEntry::WriteKey { write } => self.fleet.on_record_written(write),
        }
    }
}
