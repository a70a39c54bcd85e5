//! Start commands that may still arrive at a worker, and the fence that revokes them.
//!
//! A worker executes a command from a direct call whenever it arrives, unless the call's token is lower than the
//! highest that the worker has seen, or the call is for another incarnation. Even after the worker has answered a call,
//! a duplicate of the call may still be in the network. So every start command that was sent in a direct call counts as
//! pending until the worker has reported a higher fence than the one that the command was sent with. Start commands in
//! heartbeat responses need no fence: a worker has one heartbeat in flight at a time, and drops the responses to
//! earlier heartbeats.

use crate::protocol::token::MAX_FENCE;
use crate::protocol::worker::TaskId;
use std::collections::BTreeMap;

/// Number of pending start commands of a worker above which the leader raises the fence. Otherwise the start commands
/// of completed tasks would accumulate; the limit bounds the leader's memory use with thousands of workers.
const MAX_PENDING: usize = 32;

/// The outcome of a direct call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The worker has responded; duplicates of the call may still arrive.
    Answered,
    /// There was no usable response; the worker may execute the call at any later time.
    Unanswered,
    /// The call certainly never left this controller.
    NotSent,
}

/// A start command that may still arrive.
#[derive(Debug, Clone, Default, PartialEq)]
struct PendingStart {
    /// Highest fence of the direct calls that carried the command, have an outcome, and may still be executed.
    finished_call_fence: Option<u32>,
    /// At least one of the calls that `finished_call_fence` stands for was not answered.
    unanswered: bool,
    /// Fence of the direct call that carries the command and has no outcome yet.
    in_flight_call_fence: Option<u32>,
    /// Sequence number of the heartbeat in whose response the command was sent; `None` once a later heartbeat has
    /// arrived.
    in_response_to: Option<u64>,
}

impl PendingStart {
    fn can_no_longer_arrive(&self) -> bool {
        self.finished_call_fence.is_none()
            && self.in_flight_call_fence.is_none()
            && self.in_response_to.is_none()
    }
}

/// The start commands that may still arrive at the current incarnation of a worker, and the worker's fence.
#[derive(Debug, Clone, Default)]
pub struct PendingStarts {
    /// The worker's current fence, which is sent in the token of every message to the worker.
    fence: u32,
    /// The highest fence that the worker has reported.
    observed_fence: u32,
    /// By the task and the number of its attempt.
    starts: BTreeMap<(TaskId, u64), PendingStart>,
}

impl PendingStarts {
    /// The worker's fence.
    pub fn fence(&self) -> u32 {
        self.fence
    }

    /// Whether the worker has not yet reported a fence as high as the current one.
    pub fn awaits_fence_ack(&self) -> bool {
        self.observed_fence < self.fence
    }

    /// Number of attempts for which a start command may still arrive.
    pub fn len(&self) -> usize {
        self.starts.len()
    }

    /// Whether no start command can arrive any more.
    pub fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }

    /// Whether so many start commands are pending that the fence should be raised.
    pub fn exceeds_max_pending(&self) -> bool {
        self.starts.len() > MAX_PENDING
    }

    /// Records a start command that is sent in a direct call.
    pub fn record_direct_call(&mut self, task: TaskId, attempt: u64) {
        self.starts
            .entry((task, attempt))
            .or_default()
            .in_flight_call_fence = Some(self.fence);
    }

    /// Records a start command that is sent in the response to the heartbeat with this sequence number.
    pub fn record_heartbeat_response(&mut self, task: TaskId, attempt: u64, sequence: u64) {
        self.starts
            .entry((task, attempt))
            .or_default()
            .in_response_to = Some(sequence);
    }

    /// Records the outcome of the direct call that carried a start command.
    pub fn record_call_outcome(&mut self, task: &TaskId, attempt: u64, outcome: CallOutcome) {
        let key = (task.clone(), attempt);
        let Some(start) = self.starts.get_mut(&key) else {
            return;
        };
        let call_fence = start.in_flight_call_fence.take();
        match outcome {
            CallOutcome::NotSent => {}
            CallOutcome::Answered => {
                start.finished_call_fence = start.finished_call_fence.max(call_fence);
            }
            CallOutcome::Unanswered => {
                start.finished_call_fence = start.finished_call_fence.max(call_fence);
                start.unanswered = true;
            }
        }
        if start.can_no_longer_arrive() {
            self.starts.remove(&key);
        }
    }

    /// Records that the worker has sent the heartbeat with this sequence number as a request. The worker has therefore
    /// executed or dropped the responses to its earlier heartbeats. Must not be called for a heartbeat in the response
    /// to a direct call, which does not show this.
    pub fn drop_responses_before(&mut self, sequence: u64) {
        for start in self.starts.values_mut() {
            if start
                .in_response_to
                .is_some_and(|earlier| earlier < sequence)
            {
                start.in_response_to = None;
            }
        }
        self.starts.retain(|_, start| !start.can_no_longer_arrive());
    }

    /// Records a fence that the worker reports together with this leader's epoch: the worker no longer executes
    /// commands that were sent with a lower fence.
    pub fn observe_fence(&mut self, fence: u32) {
        self.observed_fence = self.observed_fence.max(fence);
        self.fence = self.fence.max(fence);
        let observed = self.observed_fence;
        let still_valid = |call_fence: Option<u32>| call_fence.filter(|fence| *fence >= observed);
        for start in self.starts.values_mut() {
            start.finished_call_fence = still_valid(start.finished_call_fence);
            start.in_flight_call_fence = still_valid(start.in_flight_call_fence);
            start.unanswered &= start.finished_call_fence.is_some();
        }
        self.starts.retain(|_, start| !start.can_no_longer_arrive());
    }

    /// Drops all pending starts after the worker's incarnation has changed: the worker executes no commands that
    /// were sent to an earlier incarnation.
    pub fn clear_for_new_incarnation(&mut self) {
        self.starts.clear();
    }

    /// Whether a start command for this attempt may still arrive, by either delivery path.
    pub fn may_arrive(&self, task: &TaskId, attempt: u64) -> bool {
        self.get(task, attempt).is_some()
    }

    /// Whether the start commands for this attempt that may still arrive are all duplicates of answered calls.
    pub fn has_only_answered_duplicates(&self, task: &TaskId, attempt: u64) -> bool {
        self.get(task, attempt).is_some_and(|start| {
            start.in_flight_call_fence.is_none()
                && start.in_response_to.is_none()
                && !start.unanswered
        })
    }

    /// Whether the fence must be raised to revoke the start command for this attempt: it was sent in a direct call
    /// with the current fence.
    pub fn needs_fence_raise(&self, task: &TaskId, attempt: u64) -> bool {
        self.get(task, attempt).is_some_and(|start| {
            start.finished_call_fence.max(start.in_flight_call_fence) == Some(self.fence)
        })
    }

    /// Raises the fence by one. Returns false, and changes nothing, if the fence is at its maximum, [`MAX_FENCE`].
    pub fn raise_fence(&mut self) -> bool {
        let below_max = self.fence < MAX_FENCE;
        self.fence += u32::from(below_max);
        below_max
    }

    fn get(&self, task: &TaskId, attempt: u64) -> Option<&PendingStart> {
        self.starts.get(&(task.clone(), attempt))
    }
}
