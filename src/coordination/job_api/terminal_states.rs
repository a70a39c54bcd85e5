//! How jobs have finished, as far as this controller knows. A terminal state never changes.

use crate::bookkeeping::records::{FinishedRecord, JobOutcome};
use crate::protocol::peer::{MAX_TERMINATIONS, Termination};
use std::collections::{HashMap, VecDeque};

/// Terminal states kept in memory; others are looked up again.
const MAX_TERMINAL_STATES: usize = 20_000;

/// The terminal states that were learnt last.
#[derive(Debug, Default)]
pub(super) struct TerminalStateCache {
    records: HashMap<String, FinishedRecord>,
    /// Ids of the jobs, the one learnt first in front.
    order: VecDeque<String>,
    /// Jobs that this controller has finished or aborted, for its next heartbeat to the peers.
    unannounced: Vec<Termination>,
    /// Jobs learnt to have finished, for this controller's leader.
    newly_finished: Vec<String>,
}

impl TerminalStateCache {
    /// How a job has finished, if that is known.
    pub(super) fn get(&self, id: &str) -> Option<FinishedRecord> {
        self.records.get(id).copied()
    }

    /// Records how a job has finished, unless that is known, and drops the oldest state if there are too
    /// many.
    pub(super) fn insert(&mut self, id: &str, record: FinishedRecord) {
        if let Some(known) = self.records.get(id) {
            if known.outcome != record.outcome {
                tracing::error!(job = id, ?known, ?record, "second final state ignored");
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

    /// Records for the peers that this controller has finished or aborted a job.
    pub(super) fn announce(&mut self, id: &str, record: FinishedRecord) {
        if self.unannounced.len() < MAX_TERMINATIONS {
            self.unannounced.push(Termination {
                job: id.to_owned(),
                aborted: record.outcome == JobOutcome::Aborted,
                done: record.completed_tasks,
            });
        }
    }

    /// Jobs learnt to have finished since this was last called.
    pub(super) fn take_newly_finished(&mut self) -> Vec<String> {
        std::mem::take(&mut self.newly_finished)
    }

    /// Terminations recorded for the peers since this was last called.
    pub(super) fn take_unannounced(&mut self) -> Vec<Termination> {
        std::mem::take(&mut self.unannounced)
    }
}
