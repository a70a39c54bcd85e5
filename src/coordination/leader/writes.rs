//! The leader's transactions and what follows from their answers.

use super::{Leader, Notice, STATE_SHARE};
use crate::bookkeeping::records::{self, FinishedRecord, JobOutcome};
use crate::bookkeeping::segment::Segment;
use crate::bookkeeping::write_ahead_log::LogEntry;
use crate::coordination::outbox::{Outbox, StoreAsk};
use crate::protocol::cbor;
use crate::protocol::kv::{KvRequest, KvResponse};

/// Share of the leader's budget of changes that must have come back before the next transaction.
const PACE: f64 = 2.0;

impl Leader {
    /// Sends the next transaction if there is one and the budget has room for it; or once more the
    /// one whose fate is unknown.
    pub(super) fn drive_writes(&mut self, out: &mut Outbox, now: f64) {
        if self.loading() || self.writing || now < self.write_at || self.requests.available(now) < 1.0 {
            return;
        }
        let txn = match self.ledger.retry_of_unknown() {
            Some(txn) => txn,
            None => {
                let budget = self.changes.available(now).max(0.0) as usize;
                let txn = self
                    .ledger
                    .next_transaction(self.epoch, &self.hosts, &self.jobs, budget);
                // Binds of jobs that have ended meanwhile: nothing was written, no start was sent.
                for (host, task, attempt) in self.ledger.take_rejected_bindings() {
                    self.drop_binding(&host, &task, attempt, now);
                }
                let Some(txn) = txn else { return };
                txn
            }
        };
        self.requests.take_with_debt(1.0, now);
        self.changes.take_with_debt(txn.writes.len() as f64, now);
        self.writing = true;
        // Small transactions wait for company, the longer the more of the budget is gone.
        let state = &self.settings.deployment.state;
        self.write_at = now + PACE / (state.write_rps * STATE_SHARE);
        let ask = StoreAsk::Ledger(self.epoch);
        out.store(ask, KvRequest::Txn(txn), self.patience_s(), now);
    }

    fn patience_s(&self) -> f64 {
        self.settings.deployment.workers.report_s / 2.0
    }

    /// Takes the answer to a transaction.
    pub fn written(&mut self, reply: KvResponse, out: &mut Outbox, now: f64) {
        self.writing = false;
        let report_s = self.settings.deployment.workers.report_s;
        match reply {
            KvResponse::Committed(stamp) => self.commit(stamp, now),
            KvResponse::CompareFailed(failed) => {
                if failed.iter().any(|key| key == records::LEADER_KEY) {
                    self.note(Notice::Deposed);
                } else if let Some(key) = self.ledger.read_back_key()
                    && self.ledger.is_outcome_unknown()
                {
                    // Its own first copy may be what it met.
                    self.refused_for = failed;
                    self.look_at_witness(key, out, now);
                } else {
                    self.refused(&failed);
                }
            }
            KvResponse::RateLimited | KvResponse::Unavailable => {
                // An earlier copy may still be on its way; if there is none, all may be put anew.
                if !self.ledger.is_outcome_unknown() {
                    self.ledger.requeue_in_flight();
                }
                self.write_at = now + report_s / 10.0;
            }
            KvResponse::InvalidRequest => {
                tracing::error!("the state service calls a transaction malformed");
                self.ledger.requeue_in_flight();
                self.write_at = now + report_s;
            }
            // It may have been applied, or may yet be.
            _ => {
                tracing::info!("transaction without answer");
                self.ledger.mark_outcome_unknown();
            }
        }
    }

    fn look_at_witness(&mut self, key: String, out: &mut Outbox, now: f64) {
        self.writing = true;
        self.requests.take_with_debt(1.0, now);
        let ask = StoreAsk::Witness(self.epoch);
        out.store(ask, KvRequest::Get(key), self.patience_s(), now);
    }

    /// Takes the look that tells whether a transaction of unknown fate was executed.
    pub fn witnessed(&mut self, reply: KvResponse, out: &mut Outbox, now: f64) {
        self.writing = false;
        let ours = match &reply {
            KvResponse::Value(item) => cbor::from_value::<Segment>(&item.value)
                .is_ok_and(|segment| self.ledger.is_own_segment(&segment))
                .then_some(item.mod_revision),
            KvResponse::NotFound => None,
            _ => {
                if let Some(key) = self.ledger.read_back_key() {
                    self.look_at_witness(key, out, now);
                }
                return;
            }
        };
        match ours {
            Some(stamp) => self.commit(stamp, now),
            None => {
                let failed = std::mem::take(&mut self.refused_for);
                self.refused(&failed);
            }
        }
    }

    fn commit(&mut self, stamp: u64, now: f64) {
        for change in self.ledger.complete_in_flight(stamp) {
            self.apply(&change, now);
        }
    }

    /// A transaction met conditions that do not hold, and so never will.
    fn refused(&mut self, failed: &[String]) {
        tracing::info!(?failed, "transaction refused by its conditions");
        if failed
            .iter()
            .any(|key| key.starts_with(records::LOG_PREFIX))
        {
            // Somebody else writes the log: whoever it is, this node should not.
            self.note(Notice::Deposed);
            return;
        }
        // Keys of jobs change only by their end.
        for key in failed {
            let id = key
                .strip_prefix(records::OPEN_PREFIX)
                .or_else(|| key.strip_prefix(records::FINISHED_PREFIX));
            if let Some(id) = id {
                self.closed(id);
            }
        }
        self.ledger.requeue_in_flight();
    }

    /// Does what a committed change allows.
    pub(super) fn apply(&mut self, change: &LogEntry, now: f64) {
        match change {
            LogEntry::Bind {
                worker: host,
                task,
                attempt,
            } => {
                let known = self.hosts.get_mut(host);
                if let Some(binding) = known.and_then(|h| h.bindings.get_mut(task))
                    && binding.attempt == *attempt
                {
                    binding.durable = true;
                    self.push_due.insert(host.clone());
                }
            }
            LogEntry::Unbind {
                worker: host,
                task,
                attempt,
                ..
            } => self.drop_binding(host, task, *attempt, now),
            LogEntry::FinishJob { job } => {
                tracing::debug!(job, "done");
                // The watch may have told of it first.
                if let Some(known) = self.jobs.remove(job) {
                    let record = FinishedRecord {
                        outcome: JobOutcome::Done,
                        completed_tasks: known.completed.len(),
                    };
                    self.note(Notice::Over(job.clone(), record));
                    self.halt_orphans_of(&known);
                }
            }
            LogEntry::RecordTermination { worker: host } => {
                if let Some(known) = self.hosts.get_mut(host) {
                    known.termination_recorded = true;
                }
            }
            LogEntry::RemoveWorker { worker: host } => {
                // A record that was read again meanwhile may have brought bindings back.
                self.drop_all_bindings(host, now);
                self.hosts.remove(host);
                self.push_due.remove(host);
                self.pushed_at.remove(host);
            }
            LogEntry::WriteKey { write } => self.fleet.written(write),
        }
    }

    /// Writes down that all tasks of a job are done.
    pub(super) fn end_job(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id)
            && !job.finishing
            && !job.is_service()
            && job.completed.len() == job.spec.tasks
        {
            job.finishing = true;
            self.ledger.push(LogEntry::FinishJob { job: id.to_owned() });
        }
    }
}
