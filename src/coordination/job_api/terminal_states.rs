//! How jobs have ended, as this controller has learnt. An end is for ever.

use crate::bookkeeping::records::{FinishedRecord, JobOutcome};
use crate::protocol::peer::{MAX_TERMINATIONS, Termination};
use std::collections::{HashMap, VecDeque};

/// Final states kept in memory; others are looked up again.
const MAX_TERMINAL_STATES: usize = 20_000;

/// Final states, the latest ones.
#[derive(Debug, Default)]
pub(super) struct TerminalStateCache {
    records: HashMap<String, FinishedRecord>,
    order: VecDeque<String>,
    /// Jobs that have ended by this controller's doing, for its next word to the peers.
    unannounced: Vec<Termination>,
    /// Jobs learnt to be over, for this controller's leader.
    newly_finished: Vec<String>,
}

impl TerminalStateCache {
    /// How a job has ended, if that is known.
    pub(super) fn get(&self, id: &str) -> Option<FinishedRecord> {
        self.records.get(id).copied()
    }

    /// Notes how a job has ended.
    pub(super) fn insert(&mut self, id: &str, record: FinishedRecord) {
        if self.records.insert(id.to_owned(), record).is_some() {
            return;
        }
        self.newly_finished.push(id.to_owned());
        self.order.push_back(id.to_owned());
        if self.order.len() > MAX_TERMINAL_STATES
            && let Some(oldest) = self.order.pop_front()
        {
            self.records.remove(&oldest);
        }
    }

    /// Notes for the peers that a job has ended by this controller's doing.
    pub(super) fn announce(&mut self, id: &str, record: FinishedRecord) {
        if self.unannounced.len() < MAX_TERMINATIONS {
            self.unannounced.push(Termination {
                job: id.to_owned(),
                aborted: record.outcome == JobOutcome::Aborted,
                done: record.completed_tasks,
            });
        }
    }

    /// Jobs that have been learnt to be over since the last time.
    pub(super) fn take_newly_finished(&mut self) -> Vec<String> {
        std::mem::take(&mut self.newly_finished)
    }

    /// What the peers have not been told yet.
    pub(super) fn take_unannounced(&mut self) -> Vec<Termination> {
        std::mem::take(&mut self.unannounced)
    }
}
