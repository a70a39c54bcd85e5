//! Availability: whether a worker can take tasks, and if not, why. Placement, the inventory of pools, headroom, demand
//! and consolidation all ask here, so that no worker counts as capacity that the scheduler does not use.

use super::worker::Worker;

/// Why a worker can't take tasks. If several reasons apply, the first of them in this order is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnavailableReason {
    /// The instance is to be deleted.
    Terminating,
    /// The cloud has announced that it will reclaim the instance.
    ReclaimAnnounced,
    /// This leader has received no heartbeat of the worker: it is booting, or has not found the leader yet.
    NoHeartbeat,
    /// The leader has received no heartbeat of the worker for half a lease.
    Silent,
    /// The worker answers direct calls, but its own heartbeats don't arrive: its lease is not renewed.
    NotReporting,
    /// A direct call was not answered, or responses to heartbeats don't reach the worker.
    Unreachable,
    /// The worker has not shown this leader's epoch since its lease last expired.
    EpochNotAcknowledged,
    /// Tasks of several jobs have failed on the worker.
    Cordoned,
    /// Its replicas are being moved to other workers.
    Draining,
}

/// Why a worker can't take tasks at present, and since when it can't.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Unavailability {
    /// The reason at present.
    pub reason: UnavailableReason,
    /// Since when the worker can't take tasks, for this reason or others; it is counted anew from the first heartbeat
    /// to this leader.
    pub since: f64,
}

impl Worker {
    /// Returns why the scheduler may not place tasks on the worker; `None` if it may.
    pub fn unavailable_reason(&self) -> Option<UnavailableReason> {
        if self.terminating {
            Some(UnavailableReason::Terminating)
        } else if self.reclaim_at.is_some() {
            Some(UnavailableReason::ReclaimAnnounced)
        } else if self.last_heartbeat_at.is_none() {
            Some(UnavailableReason::NoHeartbeat)
        } else if self.is_silent {
            Some(UnavailableReason::Silent)
        } else if self.is_not_reporting {
            Some(UnavailableReason::NotReporting)
        } else if self.unreachable_since.is_some() {
            Some(UnavailableReason::Unreachable)
        } else if !self.token_acknowledged {
            Some(UnavailableReason::EpochNotAcknowledged)
        } else if self.failures.is_cordoned() {
            Some(UnavailableReason::Cordoned)
        } else if self.draining_since.is_some() {
            Some(UnavailableReason::Draining)
        } else {
            None
        }
    }

    /// Whether the scheduler may place tasks on the worker.
    pub fn is_schedulable(&self) -> bool {
        self.unavailable_reason().is_none()
    }

    /// Updates since when the worker can't take tasks. Returns whether it has become available, or the reason has
    /// changed.
    pub fn update_unavailability(&mut self, now: f64) -> bool {
        let previous = self.unavailability;
        self.unavailability = self.unavailable_reason().map(|reason| Unavailability {
            reason,
            since: previous.map_or(now, |previous| previous.since),
        });
        previous.map(|previous| previous.reason) != self.unavailability.map(|now| now.reason)
    }

    /// Returns the seconds for which the worker has not been able to take tasks, as of the latest
    /// [`Worker::update_unavailability`]; 0 if it was able to.
    pub fn unavailable_s(&self, now: f64) -> f64 {
        self.unavailability
            .map_or(0.0, |unavailability| now - unavailability.since)
    }
}
