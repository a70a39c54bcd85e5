//! Cache of the terminal states of jobs. A terminal state never changes.

use crate::bookkeeping::records::{FinishedRecord, JobOutcome};
use crate::protocol::peer::{MAX_TERMINATIONS, Termination};
use std::collections::{HashMap, VecDeque};

/// Maximum number of cached terminal states. An evicted state is read from the state service when a user
/// requests it.
const MAX_TERMINAL_STATES: usize = 20_000;

/// The most recently recorded terminal states.
#[derive(Debug, Default)]
pub(super) struct TerminalStateCache {
    records: HashMap<String, FinishedRecord>,
    /// Ids of the jobs in the order in which their states were recorded, oldest first.
    order: VecDeque<String>,
    /// Jobs that this controller has finished or aborted, to be announced to the peers.
    unannounced: Vec<Termination>,
    /// Jobs whose states were recorded since the last call of `take_newly_finished`. The leader is notified of them.
    newly_finished: Vec<String>,
}

impl TerminalStateCache {
    /// The terminal state of a job, if it is cached.
    pub(super) fn get(&self, id: &str) -> Option<FinishedRecord> {
        self.records.get(id).copied()
    }

    /// Records the terminal state of a job, unless one is cached already. Evicts the oldest state if the cache
    /// is full.
    pub(super) fn insert(&mut self, id: &str, record: FinishedRecord) {
        if let Some(known) = self.records.get(id) {
            if known.outcome != record.outcome {
                tracing::error!(
                    job = id,
                    ?known,
                    ?record,
                    "terminal state ignored: the job already has a different one"
                );
            }
            return;
        }
        self.records.insert(id.to_owned(), record);
        self.newly_finished.push(id.to_owned());
        self.order.push_back(id.to_owned());
        if self.order.len() > MAX_TERMINAL_STATES
            && let Some(oldest) = self.order.pop_front()
        {
            self.records.remove(&oldest);
        }
    }

    /// Queues a job that this controller has finished or aborted for announcement to the peers. Drops it if
    /// `MAX_TERMINATIONS` jobs are queued already.
    pub(super) fn announce(&mut self, id: &str, record: FinishedRecord) {
        if self.unannounced.len() < MAX_TERMINATIONS {
            self.unannounced.push(Termination {
                job: id.to_owned(),
                aborted: record.outcome == JobOutcome::Aborted,
                done: record.completed_tasks,
            });
        }
    }

    /// Returns the jobs whose states were recorded since the previous call.
    pub(super) fn take_newly_finished(&mut self) -> Vec<String> {
        std::mem::take(&mut self.newly_finished)
    }

    /// Returns the terminations queued for the peers since the previous call.
    pub(super) fn take_unannounced(&mut self) -> Vec<Termination> {
        std::mem::take(&mut self.unannounced)
    }
}
