//! The leader's transactions and what follows from their answers.

use super::load::Loading;
use super::{Leader, Notice};
use crate::bookkeeping::ledger::Change;
use crate::bookkeeping::records::{self, Ending, OverRecord};
use crate::coordination::outbox::{Outbox, StoreAsk};
use crate::protocol::state::{StoreCall, StoreReply, Write};

impl Leader {
    /// Sends the next transaction if there is one and the budget has room for it.
    pub(super) fn drive_writes(&mut self, out: &mut Outbox, now: f64) {
        if self.loading.is_some() || now < self.write_retry_at || self.ledger.busy() {
            return;
        }
        if self.ledger.backlog() == 0 || self.requests.level(now) < 1.0 {
            return;
        }
        let budget = self.changes.level(now) as usize;
        let txn = self
            .ledger
            .next(self.epoch, &self.hosts, &self.jobs, budget);
        // Binds of jobs that have ended meanwhile: nothing was written, no start was sent.
        for (host, task, attempt) in self.ledger.take_void() {
            self.drop_binding(&host, &task, attempt, now);
        }
        let Some(txn) = txn else {
            return;
        };
        self.requests.force(1.0, now);
        self.changes.force(txn.writes.len() as f64, now);
        let patience_s = self.settings.deployment.workers.report_s / 2.0;
        out.store(
            StoreAsk::Ledger(self.epoch),
            StoreCall::Txn(txn),
            patience_s,
            now,
        );
    }

    /// Takes the answer to a transaction.
    pub fn written(&mut self, reply: StoreReply, now: f64) {
        match reply {
            StoreReply::Committed(stamp) => {
                let changes = self
                    .ledger
                    .committed(stamp, &mut self.hosts, &mut self.jobs);
                for change in changes {
                    self.apply(&change, now);
                }
            }
            StoreReply::Conflict(failed) => {
                tracing::info!(?failed, "transaction refused by its conditions");
                if failed.iter().any(|key| key == records::LEADER) {
                    self.note(Notice::Deposed);
                    return;
                }
                // Keys of open jobs change only by their end.
                let mut other = failed.is_empty();
                for key in &failed {
                    match key.strip_prefix(records::OPEN) {
                        Some(id) => self.closed(id),
                        None => other = true,
                    }
                }
                if other {
                    self.loading = Some(Loading::again());
                } else {
                    self.ledger.not_executed();
                }
            }
            StoreReply::Busy | StoreReply::Refused => {
                self.ledger.not_executed();
                self.write_retry_at = now + self.settings.deployment.workers.report_s / 10.0;
            }
            StoreReply::Bad => {
                tracing::error!("the state service calls a transaction malformed");
                self.loading = Some(Loading::again());
                self.write_retry_at = now + self.settings.deployment.workers.report_s;
            }
            // It may have been applied, or may yet be.
            _ => {
                tracing::info!("transaction without answer: reading back");
                self.loading = Some(Loading::again());
            }
        }
    }

    /// Does what a committed change allows.
    pub(super) fn apply(&mut self, change: &Change, now: f64) {
        match change {
            Change::Bind {
                host,
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
            Change::Unbind {
                host,
                task,
                attempt,
                ..
            } => self.drop_binding(host, task, *attempt, now),
            Change::End { job } => {
                if let Some(known) = self.jobs.remove(job) {
                    tracing::info!(job, "done");
                    let record = OverRecord {
                        ending: Ending::Done,
                        done: known.done.len(),
                    };
                    self.note(Notice::Over(job.clone(), record));
                    self.halt_orphans();
                }
            }
            Change::Mark { host } => {
                if let Some(known) = self.hosts.get_mut(host) {
                    known.marked = true;
                }
            }
            Change::Forget { host } => {
                // A record that was read again meanwhile may have brought bindings back.
                self.drop_all_bindings(host, now);
                self.hosts.remove(host);
                self.push_due.remove(host);
                self.pushed_at.remove(host);
            }
            Change::Put { write } => self.fleet.written(write),
        }
    }

    /// Writes down that all tasks of a job are done.
    pub(super) fn end_job(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id)
            && !job.ending
            && !job.standing()
            && job.done.len() == job.spec.tasks
        {
            job.ending = true;
            self.ledger.push(Change::End { job: id.to_owned() });
        }
    }

    /// Removes a key that nothing needs any more.
    pub(super) fn sweep(&mut self, key: String) {
        self.ledger.push(Change::Put {
            write: Write::remove(key),
        });
    }
}
