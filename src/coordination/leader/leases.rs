//! Lease tracking: until when an earlier leader may have renewed worker leases, when a worker's lease has expired for
//! certain, and for how long this leader has had no contact with any worker. A worker stops all its tasks when its
//! lease expires, unless a response to one of its heartbeats has renewed the lease before. All times are monotonic,
//! in seconds.

use crate::bookkeeping::workers::{Worker, Workers};
use crate::settings::{MAX_CLOCK_DRIFT, Settings};
use std::collections::BTreeSet;

/// Allowance for the clock drift between this controller and a worker, by which the worker's lease is taken to be
/// longer, in units of [`MAX_CLOCK_DRIFT`].
const DRIFT_MARGIN: f64 = 4.0;
/// The heartbeat interval, divided by this, is added to a worker's lease as a safety margin.
const EXPIRY_MARGIN_DIVISOR: f64 = 5.0;
/// Time that workers need to find a new leader, in heartbeat intervals.
const FAILOVER_HEARTBEATS: f64 = 2.0;
/// Time without a poll after which the event loop counts as stalled, in heartbeat intervals.
const STALL_HEARTBEATS: f64 = 0.25;

/// Tracks which controllers know this leader's epoch, when a worker that knows it last sent a heartbeat, and until
/// when earlier leaders may renew worker leases.
#[derive(Debug)]
pub(super) struct LeaseTracker {
    peers: Vec<String>,
    worker_lease_s: f64,
    heartbeat_interval_s: f64,
    elected_at: f64,
    /// Time until which an earlier leader may have renewed leases.
    previous_leader_deadline: f64,
    /// Labels of the controllers that know this epoch or a higher one.
    acknowledged_by: BTreeSet<String>,
    /// When a worker that knows this epoch last sent a heartbeat.
    last_heartbeat_at: Option<f64>,
    last_polled_at: f64,
    /// The end of the last stall of the event loop, or the election if there was none. The time before it does not
    /// count as a worker's silence, since this controller may not have received heartbeats.
    receiving_since: f64,
}

impl LeaseTracker {
    /// Creates the tracker of a leader that is elected now; an earlier one may renew leases for `lease_grace_s`
    /// more seconds.
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
            receiving_since: now,
        }
    }

    /// Returns the time until which an earlier leader may have renewed leases.
    pub(super) fn previous_leader_deadline(&self) -> f64 {
        self.previous_leader_deadline
    }

    /// Records that a peer knows this epoch or a higher one. Returns true if this was the last peer to know one, so
    /// that no earlier leader renews leases from now on.
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

    /// Records that the leader is polled, and detects a stall of the event loop since the last poll.
    pub(super) fn on_poll(&mut self, now: f64) {
        if now - self.last_polled_at > self.heartbeat_interval_s * STALL_HEARTBEATS {
            tracing::info!(gap_s = now - self.last_polled_at, "event loop stalled");
            self.receiving_since = now;
        }
        self.last_polled_at = now;
    }

    /// Records a heartbeat of a worker that knows this epoch.
    pub(super) fn on_heartbeat(&mut self, now: f64) {
        self.last_heartbeat_at = Some(now);
    }

    /// Returns the seconds since the last heartbeat of any worker that knows this epoch; zero before the first.
    pub(super) fn silence_s(&self, now: f64) -> f64 {
        self.last_heartbeat_at.map_or(0.0, |at| now - at)
    }

    /// Returns the time from which a worker's silence counts: its last heartbeat, or the end of the last stall of the
    /// event loop if that is later. `None` if the worker may still be booting.
    pub(super) fn silent_since(&self, worker: &Worker) -> Option<f64> {
        // A worker that has been up, but has sent no heartbeat to this leader, was up under an earlier leader.
        let inherited = worker.has_been_up.then_some(self.elected_at);
        let last = worker.last_heartbeat_at.or(inherited)?;
        Some(last.max(self.receiving_since))
    }

    /// Returns the time from which a worker counts as not reporting: its last own heartbeat, or its first response to a
    /// direct call if it has sent none, or the end of the last stall of the event loop if that is later. `None` if the
    /// worker has not been heard.
    pub(super) fn not_reporting_since(&self, worker: &Worker) -> Option<f64> {
        let last = worker.last_reported_at.or(worker.first_heartbeat_at)?;
        Some(last.max(self.receiving_since))
    }

    /// Returns the seconds for which no worker has shown that it receives this leader's responses; zero or less if no
    /// worker is expected to have done so yet.
    pub(super) fn worker_contact_lost_s(&self, workers: &Workers, now: f64) -> f64 {
        // A worker can show this leader's epoch only after it has received a response to its first heartbeat.
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
        // After a failover, workers need some time to find the new leader.
        let reachable_from = self.elected_at + FAILOVER_HEARTBEATS * self.heartbeat_interval_s;
        let last = self.last_heartbeat_at.unwrap_or(reachable_from);
        now - last.max(reachable_from).max(first_contact)
    }

    /// Returns the time by which a worker's incarnation has certainly ended if the worker receives no further
    /// response: its lease, counted from the last response that may have renewed it, has expired by then, even if the
    /// worker's clock runs slower than this controller's.
    pub(super) fn expires_at(&self, worker: &Worker) -> f64 {
        worker.lease_renewed_at
            + self.worker_lease_s * (1.0 + DRIFT_MARGIN * MAX_CLOCK_DRIFT)
            + self.heartbeat_interval_s / EXPIRY_MARGIN_DIVISOR
    }
}
