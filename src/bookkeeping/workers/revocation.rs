//! The worker's fence: revoking the starts that were sent so far.

use super::worker::Worker;

/// Why starts that may still arrive at a worker are revoked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RevocationReason {
    /// The job has ended.
    JobEnded,
    /// A task that the worker doesn't show is to leave it.
    Evicted,
    /// An attempt that has exited can't be cleared while a start of it may arrive.
    Clear,
    /// Too many starts are tracked.
    TooManyPending,
}

impl RevocationReason {
    /// Whether the worker is told at once, rather than in the response to its next heartbeat.
    pub fn is_urgent(self) -> bool {
        matches!(self, RevocationReason::JobEnded | RevocationReason::Evicted)
    }
}

impl Worker {
    /// Revokes all starts that were sent so far: the worker executes none of them once it has received the
    /// next message. Returns false if the fence can't be raised any further.
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

    /// Whether the eviction of a task waits for the worker to show its present fence.
    pub fn awaits_fence_ack(&self) -> bool {
        self.pending_starts.awaits_fence_ack()
            && self.bindings.iter().any(|(task, binding)| {
                binding.eviction.is_some()
                    && !binding.unbinding
                    && self.pending_starts.may_arrive(task, binding.attempt)
            })
    }

    /// Takes the fence that a heartbeat of the worker shows under this leader.
    pub fn observe_fence(&mut self, fence: u32) {
        if fence > self.pending_starts.fence() {
            tracing::error!(
                worker = self.name,
                fence,
                given = self.pending_starts.fence(),
                "Epoch: the worker shows a fence that it was not given; it is taken over. Look for a \
                 second controller with this label"
            );
        }
        self.pending_starts.observe_fence(fence);
    }
}
