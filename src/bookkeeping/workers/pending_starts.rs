//! Starts that may still reach a worker, and the fence that revokes them.
//!
//! A worker executes a direct command whenever it arrives, as long as its token and incarnation match. Whether
//! the call was answered tells nothing about a copy that is still in the network. So every start that was
//! sent directly counts as pending until the worker has shown a fence above the one that it was sent under.
//! Starts in heartbeat responses need no fence: a worker has one heartbeat in flight at a time, and drops the
//! responses to earlier ones.

use crate::protocol::token::MAX_FENCE;
use crate::protocol::worker::TaskId;
use std::collections::BTreeMap;

/// Starts of completed tasks are kept until the next fence; beyond this number the fence is raised for them.
/// Bounds the memory of thousands of workers.
const MAX_PENDING: usize = 32;

/// The outcome of a direct call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The worker has answered; copies of the call may still arrive.
    Answered,
    /// There was no answer: the call may be executed at any later time.
    Unanswered,
    /// The call certainly never left this controller.
    NotSent,
}

/// One start that may still arrive.
#[derive(Debug, Clone, Default, PartialEq)]
struct PendingStart {
    /// Fence of the latest direct command that carried it and may still be executed.
    delivered_under: Option<u32>,
    /// One of these commands had no answer.
    unanswered: bool,
    /// Fence of the direct command in flight that carries it.
    in_flight_under: Option<u32>,
    /// Sequence number of the heartbeat in whose response it was sent; settled by the next heartbeat.
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
    /// Sent with every message to the worker.
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
    pub fn awaits_fence_ack(&self) -> bool {
        self.observed_fence < self.fence
    }

    /// How many starts may still arrive.
    pub fn len(&self) -> usize {
        self.starts.len()
    }

    /// Whether no start may still arrive.
    pub fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }

    /// Whether so many are kept that the fence should be raised for them.
    pub fn exceeds_max_pending(&self) -> bool {
        self.starts.len() > MAX_PENDING
    }

    /// Records a start that is sent in a direct command.
    pub fn record_direct_call(&mut self, task: TaskId, attempt: u64) {
        self.starts
            .entry((task, attempt))
            .or_default()
            .in_flight_under = Some(self.fence);
    }

    /// Records a start that is sent in the response to the heartbeat with this sequence number.
    pub fn record_heartbeat_response(&mut self, task: TaskId, attempt: u64, sequence: u64) {
        self.starts.entry((task, attempt)).or_default().in_response = Some(sequence);
    }

    /// Takes the outcome of the direct command that carried a start.
    pub fn record_call_outcome(&mut self, task: &TaskId, attempt: u64, outcome: CallOutcome) {
        let key = (task.clone(), attempt);
        let Some(start) = self.starts.get_mut(&key) else {
            return;
        };
        let sent = start.in_flight_under.take();
        match outcome {
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

    /// Takes a heartbeat that the worker sent unasked: the responses to earlier heartbeats have been executed
    /// or dropped.
    pub fn drop_responses_before(&mut self, sequence: u64) {
        for start in self.starts.values_mut() {
            if start.in_response.is_some_and(|sent| sent < sequence) {
                start.in_response = None;
            }
        }
        self.starts.retain(|_, start| !start.is_settled());
    }

    /// Takes a fence that the worker shows under this leader: it executes nothing any more that was sent under a
    /// lower one.
    pub fn observe_fence(&mut self, fence: u32) {
        self.observed_fence = self.observed_fence.max(fence);
        self.fence = self.fence.max(fence);
        let observed = self.observed_fence;
        let still_valid = |sent: Option<u32>| sent.filter(|fence| *fence >= observed);
        for start in self.starts.values_mut() {
            start.delivered_under = still_valid(start.delivered_under);
            start.in_flight_under = still_valid(start.in_flight_under);
            start.unanswered &= start.delivered_under.is_some();
        }
        self.starts.retain(|_, start| !start.is_settled());
    }

    /// Takes a new incarnation of the worker: it executes no command for an earlier one.
    pub fn clear_for_new_incarnation(&mut self) {
        self.starts.clear();
    }

    /// Whether a start of this attempt may still arrive, by any delivery path.
    pub fn may_arrive(&self, task: &TaskId, attempt: u64) -> bool {
        self.get(task, attempt).is_some()
    }

    /// Whether only copies of answered commands may still arrive of this attempt's start.
    pub fn has_only_answered_duplicates(&self, task: &TaskId, attempt: u64) -> bool {
        self.get(task, attempt).is_some_and(|start| {
            start.in_flight_under.is_none() && start.in_response.is_none() && !start.unanswered
        })
    }

    /// Whether the fence must be raised to revoke this attempt's start.
    pub fn needs_fence_raise(&self, task: &TaskId, attempt: u64) -> bool {
        self.get(task, attempt).is_some_and(|start| {
            start.delivered_under.max(start.in_flight_under) == Some(self.fence)
        })
    }

    /// Raises the fence. Returns false if it can't be raised any further under this leader.
    pub fn raise_fence(&mut self) -> bool {
        let below_max = self.fence < MAX_FENCE;
        self.fence += u32::from(below_max);
        below_max
    }

    fn get(&self, task: &TaskId, attempt: u64) -> Option<&PendingStart> {
        self.starts.get(&(task.clone(), attempt))
    }
}
