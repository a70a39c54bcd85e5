//! Lease tracking: when an earlier leader can no longer renew, when a worker's lease has certainly
//! expired, and for how long this leader has not reached any worker. All times are monotonic, in
//! seconds.

use crate::bookkeeping::workers::{Worker, Workers};
use crate::settings::{MAX_CLOCK_DRIFT, Settings};
use std::collections::BTreeSet;

/// Clock drift that the end of a worker's lease allows for, in units of [`MAX_CLOCK_DRIFT`].
const DRIFT_MARGIN: f64 = 4.0;
/// The part of a heartbeat interval that is added to a worker's lease as a safety margin, as a divisor.
const EXPIRY_MARGIN_DIVISOR: f64 = 5.0;
/// Heartbeat intervals that workers take to find a new leader.
const FAILOVER_HEARTBEATS: f64 = 2.0;
/// Heartbeat intervals without a poll from which the event loop counts as stalled.
const STALL_HEARTBEATS: f64 = 0.25;

/// What this leader knows about its own epoch and about the leases that it and earlier leaders renew.
#[derive(Debug)]
pub(super) struct LeaseTracker {
    peers: Vec<String>,
    worker_lease_s: f64,
    heartbeat_interval_s: f64,
    elected_at: f64,
    /// Until then an earlier leader may have renewed leases.
    previous_leader_deadline: f64,
    /// Controllers that know this epoch, or a higher one.
    acknowledged_by: BTreeSet<String>,
    /// When a worker that knows this epoch last sent a heartbeat.
    last_heartbeat_at: Option<f64>,
    last_polled_at: f64,
    /// Since when polls have come without a gap: no worker counts as unresponsive for the time in
    /// which this controller did not receive.
    awake_since: f64,
}

impl LeaseTracker {
    /// A tracker for a leader elected now; an earlier one may renew for `lease_grace_s` more seconds.
    pub(super) fn new(settings: &Settings, lease_grace_s: f64, now: f64) -> LeaseTracker {
        let worker_settings = &settings.deployment.workers;
        let previous_leader_deadline = if settings.peers.is_empty() {
            now
        } else {
            now + lease_grace_s
        };
        LeaseTracker {
            peers: settings
                .peers
                .iter()
                .map(|peer| peer.label.clone())
                .collect(),
            worker_lease_s: worker_settings.lease_s,
            heartbeat_interval_s: worker_settings.heartbeat_interval_s,
            elected_at: now,
            previous_leader_deadline,
            acknowledged_by: BTreeSet::new(),
            last_heartbeat_at: None,
            last_polled_at: now,
            awake_since: now,
        }
    }

    /// Until when an earlier leader may have renewed leases.
    pub(super) fn previous_leader_deadline(&self) -> f64 {
        self.previous_leader_deadline
    }

    /// A peer knows this epoch, or a higher one. Returns whether all peers do with it, so that no
    /// earlier leader renews leases from now on.
    pub(super) fn on_epoch_acknowledged(&mut self, label: &str, now: f64) -> bool {
        if !self.acknowledged_by.insert(label.to_owned())
            || !self
                .peers
                .iter()
                .all(|peer| self.acknowledged_by.contains(peer))
        {
            return false;
        }
        self.previous_leader_deadline = self.previous_leader_deadline.min(now);
        true
    }

    /// The leader is polled; a gap since the last poll restarts the time for which it has received.
    pub(super) fn on_poll(&mut self, now: f64) {
        if now - self.last_polled_at > self.heartbeat_interval_s * STALL_HEARTBEATS {
            tracing::info!(gap_s = now - self.last_polled_at, "event loop stalled");
            self.awake_since = now;
        }
        self.last_polled_at = now;
    }

    /// A heartbeat has come from a worker that knows this epoch.
    pub(super) fn on_heartbeat(&mut self, now: f64) {
        self.last_heartbeat_at = Some(now);
    }

    /// Seconds since the last heartbeat of any worker that knows this epoch; zero before the first.
    pub(super) fn silence_s(&self, now: f64) -> f64 {
        self.last_heartbeat_at.map_or(0.0, |at| now - at)
    }

    /// Since when a worker has sent nothing although it should have; `None`: it may still be booting.
    pub(super) fn last_contact(&self, worker: &Worker) -> Option<f64> {
        // A worker that has bindings but was never heard got them from an earlier leader.
        let inherited = (!worker.bindings.is_empty()).then_some(self.elected_at);
        let last = worker.last_heartbeat_at.or(inherited)?;
        Some(last.max(self.awake_since))
    }

    /// Seconds for which no worker has shown that it receives this leader's answers, although some should.
    pub(super) fn worker_contact_lost_s(&self, workers: &Workers, now: f64) -> f64 {
        // A worker whose first heartbeat has just come has not had an answer yet.
        let first_contact = workers
            .iter()
            .filter(|worker| {
                !worker.terminating
                    && (worker.last_heartbeat_at.is_some() || !worker.bindings.is_empty())
            })
            .map(|worker| worker.first_heartbeat_at.unwrap_or(self.elected_at))
            .min_by(f64::total_cmp);
        let Some(first_contact) = first_contact else {
            return 0.0;
        };
        // After a failover, workers need a moment to find the new leader.
        let from = self.elected_at + FAILOVER_HEARTBEATS * self.heartbeat_interval_s;
        let last = self.last_heartbeat_at.unwrap_or(from);
        now - last.max(from).max(first_contact)
    }

    /// When an unresponsive worker's incarnation has certainly ended: its lease has expired since the
    /// last answer that may have renewed it, by the slower of two clocks.
    pub(super) fn expires_at(&self, worker: &Worker) -> f64 {
        worker.lease_renewed_at
            + self.worker_lease_s * (1.0 + DRIFT_MARGIN * MAX_CLOCK_DRIFT)
            + self.heartbeat_interval_s / EXPIRY_MARGIN_DIVISOR
    }
}
