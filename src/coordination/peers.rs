//! The latest heartbeat of each peer, and what this controller concludes from those that are fresh.

use crate::protocol::peer::PeerHeartbeat;
use std::collections::{BTreeMap, BTreeSet};

/// A heartbeat and when it was received, in monotonic seconds.
#[derive(Debug)]
struct ReceivedHeartbeat {
    heartbeat: PeerHeartbeat,
    received_at: f64,
}

/// The newest epoch that a peer has told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatestLeader<'a> {
    /// The epoch.
    pub epoch: u64,
    /// Label of the controller that leads with it, if the peer knows.
    pub label: Option<&'a str>,
}

/// The latest heartbeat of each peer. A heartbeat is fresh if it was received within `window_s`.
#[derive(Debug, Default)]
pub struct Peers {
    latest: BTreeMap<String, ReceivedHeartbeat>,
}

impl Peers {
    /// Records a heartbeat.
    pub fn record(&mut self, heartbeat: PeerHeartbeat, now: f64) {
        let label = heartbeat.label.clone();
        let received = ReceivedHeartbeat {
            heartbeat,
            received_at: now,
        };
        self.latest.insert(label, received);
    }

    /// Whether no heartbeat is fresh.
    pub fn none_fresh(&self, window_s: f64, now: f64) -> bool {
        self.fresh(window_s, now).next().is_none()
    }

    /// Whether the state service has answered some peer.
    pub fn any_served(&self, window_s: f64, now: f64) -> bool {
        self.fresh(window_s, now)
            .any(|heartbeat| heartbeat.state_service_ok)
    }

    /// Whether some peer has redirected workers, which could not reach this controller while it leads.
    pub fn any_redirected(&self, window_s: f64, now: f64) -> bool {
        self.fresh(window_s, now)
            .any(|heartbeat| heartbeat.redirected_workers > 0)
    }

    /// The highest epoch that peers have told, and who leads with it. None: they know of no leader.
    pub fn latest_leader(&self, window_s: f64, now: f64) -> Option<LatestLeader<'_>> {
        let with_leader = self
            .fresh(window_s, now)
            .filter(|heartbeat| heartbeat.epoch > 0);
        let latest = with_leader.max_by_key(|heartbeat| heartbeat.epoch)?;
        Some(LatestLeader {
            epoch: latest.epoch,
            label: latest.leader.as_deref(),
        })
    }

    /// Jobs that leaders have told to be crash-looping.
    pub fn crash_looping_jobs(&self, window_s: f64, now: f64) -> BTreeSet<String> {
        self.fresh(window_s, now)
            .flat_map(|heartbeat| heartbeat.crash_looping_jobs.iter().cloned())
            .collect()
    }

    /// Writes per second that a peer makes for its users. None: its latest heartbeat is not fresh.
    pub fn user_writes_per_s(&self, label: &str, window_s: f64, now: f64) -> Option<f64> {
        let peer = self.latest.get(label)?;
        let is_fresh = now - peer.received_at < window_s;
        is_fresh.then_some(peer.heartbeat.user_writes_per_s)
    }

    fn fresh(&self, window_s: f64, now: f64) -> impl Iterator<Item = &PeerHeartbeat> {
        let received = self.latest.values();
        let fresh = received.filter(move |peer| now - peer.received_at < window_s);
        fresh.map(|peer| &peer.heartbeat)
    }
}
