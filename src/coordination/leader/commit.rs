//! The leader's transactions and what follows from their answers.

use super::{LEADER_STATE_SHARE, Leader, LeaderEvent};
use crate::bookkeeping::records::{self, FinishedRecord, JobOutcome};
use crate::bookkeeping::wal::{LogEntry, Segment};
use crate::coordination::effects::{Effects, KvRequestKind};
use crate::protocol::cbor;
use crate::protocol::kv::{KvRequest, KvResponse};

/// Share of the leader's budget of changes that must have come back before the next transaction.
const COMMIT_PACE: f64 = 2.0;

impl Leader {
    /// Sends the next transaction if there is one and the budget has room for it; or once more the
    /// one whose outcome is unknown.
    pub(super) fn commit_pending(&mut self, effects: &mut Effects, now: f64) {
        if self.recovery()
            || self.commit_in_flight
            || now < self.next_commit_at
            || self.request_budget.available(now) < 1.0
        {
            return;
        }
        let txn = match self.log.retry_of_unknown() {
            Some(txn) => txn,
            None => {
                let budget = self.write_budget.available(now).max(0.0) as usize;
                let txn = self
                    .log
                    .next_transaction(self.epoch, &self.workers, &self.jobs, budget);
                // Binds of jobs that have ended meanwhile: nothing was written, no start was sent.
                for rejected in self.log.take_rejected_bindings() {
                    self.drop_binding(&rejected.worker, &rejected.task, rejected.attempt, now);
                }
                let Some(txn) = txn else { return };
                txn
            }
        };
        self.request_budget.take_with_debt(1.0, now);
        self.write_budget
            .take_with_debt(txn.writes.len() as f64, now);
        self.commit_in_flight = true;
        // Small transactions wait for company, the longer the more of the budget is gone.
        let state = &self.settings.deployment.state;
        self.next_commit_at = now + COMMIT_PACE / (state.write_rps * LEADER_STATE_SHARE);
        let kind = KvRequestKind::LogAppend(self.epoch);
        effects.call_kv(kind, KvRequest::Txn(txn), self.request_timeout_s(), now);
    }

    fn request_timeout_s(&self) -> f64 {
        self.settings.deployment.workers.heartbeat_interval_s / 2.0
    }

    /// Takes the answer to a transaction.
    pub fn on_commit_completed(&mut self, response: KvResponse, effects: &mut Effects, now: f64) {
        self.commit_in_flight = false;
        let heartbeat_interval_s = self.settings.deployment.workers.heartbeat_interval_s;
        match response {
            KvResponse::Committed(mod_revision) => self.apply_committed(mod_revision, now),
            KvResponse::CompareFailed(failed) => {
                if failed.iter().any(|key| key == records::LEADER_KEY) {
                    self.emit(LeaderEvent::Deposed);
                } else if let Some(key) = self.log.read_back_key()
                    && self.log.is_outcome_unknown()
                {
                    // Its own first copy may be what it met.
                    self.failed_compares = failed;
                    self.read_back_log(key, effects, now);
                } else {
                    self.on_compare_failed(&failed);
                }
            }
            KvResponse::RateLimited | KvResponse::Unavailable => {
                // An earlier copy may still be on its way; if there is none, all may be put anew.
                if !self.log.is_outcome_unknown() {
                    self.log.requeue_in_flight();
                }
                self.next_commit_at = now + heartbeat_interval_s / 10.0;
            }
            KvResponse::InvalidRequest => {
                tracing::error!(
                    "commit rejected: the state service calls the transaction malformed"
                );
                self.log.requeue_in_flight();
                self.next_commit_at = now + heartbeat_interval_s;
            }
            // It may have been applied, or may yet be.
            _ => {
                tracing::info!("commit outcome unknown");
                self.log.mark_outcome_unknown();
            }
        }
    }

    fn read_back_log(&mut self, key: String, effects: &mut Effects, now: f64) {
        self.commit_in_flight = true;
        self.request_budget.take_with_debt(1.0, now);
        let kind = KvRequestKind::LogReadBack(self.epoch);
        effects.call_kv(kind, KvRequest::Get(key), self.request_timeout_s(), now);
    }

    /// Takes the look that tells whether a transaction of unknown outcome was executed.
    pub fn on_read_back(&mut self, response: KvResponse, effects: &mut Effects, now: f64) {
        self.commit_in_flight = false;
        let ours = match &response {
            KvResponse::Value(item) => cbor::from_value::<Segment>(&item.value)
                .is_ok_and(|segment| self.log.is_own_segment(&segment))
                .then_some(item.mod_revision),
            KvResponse::NotFound => None,
            _ => {
                if let Some(key) = self.log.read_back_key() {
                    self.read_back_log(key, effects, now);
                }
                return;
            }
        };
        match ours {
            Some(mod_revision) => self.apply_committed(mod_revision, now),
            None => {
                let failed = std::mem::take(&mut self.failed_compares);
                self.on_compare_failed(&failed);
            }
        }
    }

    fn apply_committed(&mut self, mod_revision: u64, now: f64) {
        for change in self.log.complete_in_flight(mod_revision) {
            self.apply_entry(&change, now);
        }
    }

    /// A transaction met conditions that do not hold, and so never will.
    fn on_compare_failed(&mut self, failed: &[String]) {
        tracing::info!(?failed, "commit rejected: compare failed");
        if failed
            .iter()
            .any(|key| key.starts_with(records::LOG_PREFIX))
        {
            // Somebody else writes the log: whoever it is, this controller should not.
            self.emit(LeaderEvent::Deposed);
            return;
        }
        // Keys of jobs change only by their end.
        for key in failed {
            let id = key
                .strip_prefix(records::OPEN_PREFIX)
                .or_else(|| key.strip_prefix(records::FINISHED_PREFIX));
            if let Some(id) = id {
                self.on_job_closed(id);
            }
        }
        self.log.requeue_in_flight();
    }

    /// Does what a committed change allows.
    pub(super) fn apply_entry(&mut self, change: &LogEntry, now: f64) {
        match change {
            LogEntry::Bind {
                worker,
                task,
                attempt,
            } => {
                let known = self.workers.get_mut(worker);
                if let Some(binding) = known.and_then(|h| h.bindings.get_mut(task))
                    && binding.attempt == *attempt
                {
                    binding.durable = true;
                    self.dispatch_due.insert(worker.clone());
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
                // The watch may have told of it first.
                if let Some(known) = self.jobs.remove(job) {
                    let record = FinishedRecord {
                        outcome: JobOutcome::Done,
                        completed_tasks: known.completed().len(),
                    };
                    self.emit(LeaderEvent::JobFinished(job.clone(), record));
                    self.evict_tasks_of(&known);
                }
            }
            LogEntry::RecordTermination { worker } => {
                if let Some(known) = self.workers.get_mut(worker) {
                    known.termination_recorded = true;
                }
            }
            LogEntry::RemoveWorker { worker } => {
                // A record that was read again meanwhile may have brought bindings back.
                self.drop_all_bindings(worker, now);
                self.workers.remove(worker);
                self.dispatch_due.remove(worker);
                self.last_dispatch.remove(worker);
            }
            LogEntry::WriteKey { write } => self.fleet.on_record_written(write),
        }
    }

    /// Writes down that all tasks of a job are done.
    pub(super) fn finish_job(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id)
            && !job.finishing
            && !job.is_service()
            && job.is_complete()
        {
            job.finishing = true;
            self.log.push(LogEntry::FinishJob { job: id.to_owned() });
        }
    }
}
