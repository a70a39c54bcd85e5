//! Starts that may still reach a worker, and the fence that revokes them.
//!
//! A direct command is executed whenever it arrives, as long as the worker's token and incarnation match; that it
//! got no answer, or that it was answered already, tells nothing about a copy that is still on its way. So
//! every start that was sent directly counts as pending until the worker has shown a fence above the one that
//! it was sent under. Starts in answers to reports need no fence: a worker has one heartbeat in flight at a
//! time, and drops answers to earlier ones.

use crate::protocol::token::MAX_FENCE;
use crate::protocol::worker::TaskId;
use std::collections::BTreeMap;

/// Starts of tasks that are long done are kept until the next fence; beyond so many one is raised for them.
/// Thousands of workers may have as many.
const MAX_PENDING: usize = 32;

/// What became of a direct call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The worker has answered; copies may follow.
    Answered,
    /// No answer: it may be executed at any later time.
    Unanswered,
    /// It certainly never left this controller.
    NotSent,
}

/// One start that may still arrive.
#[derive(Debug, Clone, Default, PartialEq)]
struct PendingStart {
    /// Fence of the latest direct command that carried it and may still be executed.
    delivered_under: Option<u32>,
    /// One of these commands got no answer.
    unanswered: bool,
    /// Fence of the direct command that carries it and is on its way now.
    in_flight_under: Option<u32>,
    /// Report in whose answer it was sent; settled by the next heartbeat.
    in_response: Option<u64>,
}

impl PendingStart {
    fn is_settled(&self) -> bool {
        self.delivered_under.is_none()
            && self.in_flight_under.is_none()
            && self.in_response.is_none()
    }
}

/// The starts of one worker's incarnation that may still arrive.
#[derive(Debug, Clone, Default)]
pub struct PendingStarts {
    /// Goes out with every message to the worker.
    fence: u32,
    /// The highest fence that the worker has shown.
    observed_fence: u32,
    starts: BTreeMap<(TaskId, u64), PendingStart>,
}

impl PendingStarts {
    /// The worker's fence.
    pub fn fence(&self) -> u32 {
        self.fence
    }

    /// Whether the worker has not shown its present fence yet.
    pub fn awaits_fence(&self) -> bool {
        self.observed_fence < self.fence
    }

    /// How many starts may still arrive.
    pub fn len(&self) -> usize {
        self.starts.len()
    }

    /// Whether no start may arrive any more.
    pub fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }

    /// Whether so many are kept that they are worth a fence.
    pub fn is_crowded(&self) -> bool {
        self.starts.len() > MAX_PENDING
    }

    /// A start goes out in a direct command.
    pub fn record_direct_call(&mut self, task: TaskId, attempt: u64) {
        self.starts
            .entry((task, attempt))
            .or_default()
            .in_flight_under = Some(self.fence);
    }

    /// A start goes out in the answer to a heartbeat.
    pub fn record_heartbeat_response(&mut self, task: TaskId, attempt: u64, tick: u64) {
        self.starts.entry((task, attempt)).or_default().in_response = Some(tick);
    }

    /// Takes what became of the direct command that carried a start.
    pub fn record_call_outcome(&mut self, task: &TaskId, attempt: u64, fate: CallOutcome) {
        let key = (task.clone(), attempt);
        let Some(start) = self.starts.get_mut(&key) else {
            return;
        };
        let sent = start.in_flight_under.take();
        match fate {
            CallOutcome::NotSent => {}
            CallOutcome::Answered => start.delivered_under = start.delivered_under.max(sent),
            CallOutcome::Unanswered => {
                start.delivered_under = start.delivered_under.max(sent);
                start.unanswered = true;
            }
        }
        if start.is_settled() {
            self.starts.remove(&key);
        }
    }

    /// A heartbeat that the worker sent by itself, the next one after those in whose answers starts went out:
    /// these have been executed or dropped.
    pub fn settle_responses(&mut self, tick: u64) {
        for start in self.starts.values_mut() {
            if start.in_response.is_some_and(|sent| sent < tick) {
                start.in_response = None;
            }
        }
        self.starts.retain(|_, start| !start.is_settled());
    }

    /// The worker shows a fence of this leader: nothing that was sent under a lower one is executed any more.
    pub fn observe_fence(&mut self, fence: u32) {
        self.observed_fence = self.observed_fence.max(fence);
        self.fence = self.fence.max(fence);
        let shown = self.observed_fence;
        let over = |sent: Option<u32>| sent.filter(|fence| *fence >= shown);
        for start in self.starts.values_mut() {
            start.delivered_under = over(start.delivered_under);
            start.in_flight_under = over(start.in_flight_under);
            start.unanswered &= start.delivered_under.is_some();
        }
        self.starts.retain(|_, start| !start.is_settled());
    }

    /// A new incarnation of the worker: no command of an earlier one is executed any more.
    pub fn end_session(&mut self) {
        self.starts.clear();
    }

    /// Whether a start of this attempt may still arrive, by whatever way.
    pub fn may_arrive(&self, task: &TaskId, attempt: u64) -> bool {
        self.get(task, attempt).is_some()
    }

    /// Whether all that may still arrive of it are copies of commands that were answered.
    pub fn only_answered_copies(&self, task: &TaskId, attempt: u64) -> bool {
        self.get(task, attempt).is_some_and(|start| {
            start.in_flight_under.is_none() && start.in_response.is_none() && !start.unanswered
        })
    }

    /// Whether it takes a higher fence than the present one to revoke a start.
    pub fn needs_fence(&self, task: &TaskId, attempt: u64) -> bool {
        self.get(task, attempt).is_some_and(|start| {
            start.delivered_under.max(start.in_flight_under) == Some(self.fence)
        })
    }

    /// Raises the fence. False: it can't be raised any further under this leader.
    pub fn raise_fence(&mut self) -> bool {
        let can = self.fence < MAX_FENCE;
        self.fence += u32::from(can);
        can
    }

    fn get(&self, task: &TaskId, attempt: u64) -> Option<&PendingStart> {
        self.starts.get(&(task.clone(), attempt))
    }
}
