//! Revokes the start commands that were sent to a worker, by raising the worker's fence.

use super::worker::Worker;

/// Why start commands that may still arrive at a worker are revoked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RevocationReason {
    /// Start commands may still arrive for tasks of a job that has ended.
    JobEnded,
    /// A start command may still arrive for a task that is being evicted and that the worker's heartbeat does not list.
    Evicted,
    /// An attempt that has exited can't be cleared while a start command for it may arrive.
    Clear,
    /// More start commands are pending than [`PendingStarts`](super::PendingStarts) should hold.
    TooManyPending,
}

impl RevocationReason {
    /// Whether the raised fence is sent at once in a direct call, rather than in the response to the worker's next
    /// heartbeat.
    pub fn is_urgent(self) -> bool {
        matches!(self, RevocationReason::JobEnded | RevocationReason::Evicted)
    }
}

impl Worker {
    /// Revokes all start commands sent so far by raising the fence: once the worker has received a message with the
    /// new fence, it executes none of them. Returns false if the fence is at its maximum already.
    pub fn revoke_starts(&mut self, reason: RevocationReason) -> bool {
        let starts = self.pending_starts.len();
        let raised = self.pending_starts.raise_fence();
        let fence = self.pending_starts.fence();
        tracing::debug!(
            worker = self.name,
            ?reason,
            fence,
            starts,
            raised,
            "starts revoked"
        );
        self.revoke_starts_of_ended_jobs = false;
        raised
    }

    /// Whether the eviction of some task can't finish before the worker has reported a fence as high as the current
    /// one.
    pub fn awaits_fence_ack(&self) -> bool {
        self.pending_starts.awaits_fence_ack()
            && self.bindings.iter().any(|(task, binding)| {
                binding.eviction.is_some()
                    && !binding.unbinding
                    && self.pending_starts.may_arrive(task, binding.attempt)
            })
    }

    /// Records the fence that the worker reports in a heartbeat with this leader's epoch.
    pub fn observe_fence(&mut self, fence: u32) {
        if fence > self.pending_starts.fence() {
            // "Epoch" is the name of the token in messages; the fence is a part of the token. `given` is the highest
            // fence that this leader knows for the worker.
            tracing::error!(
                worker = self.name,
                fence,
                given = self.pending_starts.fence(),
                "Epoch: the worker reports a higher fence than this leader has issued; continuing from that \
                 fence. Check whether a second controller runs with the same label as this one"
            );
        }
        self.pending_starts.observe_fence(fence);
    }
}
