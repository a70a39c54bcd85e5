//! The latest heartbeat of each peer, and queries over the recent ones.

use crate::protocol::peer::PeerHeartbeat;
use std::collections::{BTreeMap, BTreeSet};

/// A heartbeat with the monotonic time of its receipt, in seconds.
#[derive(Debug)]
struct ReceivedHeartbeat {
    heartbeat: PeerHeartbeat,
    received_at: f64,
}

/// The highest epoch in the fresh heartbeats, and its leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatestLeader<'a> {
    /// The highest epoch; never 0, which stands for no leader.
    pub epoch: u64,
    /// Label of the leader that the peer whose heartbeat has this epoch knows, if any.
    pub label: Option<&'a str>,
}

/// The latest heartbeat of each peer. A heartbeat is fresh if it was received within the last `window_s` seconds.
/// The queries consider fresh heartbeats only.
#[derive(Debug, Default)]
pub struct Peers {
    latest: BTreeMap<String, ReceivedHeartbeat>,
}

impl Peers {
    /// Records a heartbeat, which replaces the previous one of the same peer.
    pub fn record(&mut self, heartbeat: PeerHeartbeat, now: f64) {
        let label = heartbeat.label.clone();
        let received = ReceivedHeartbeat {
            heartbeat,
            received_at: now,
        };
        self.latest.insert(label, received);
    }

    /// Whether there is no fresh heartbeat of any peer.
    pub fn none_fresh(&self, window_s: f64, now: f64) -> bool {
        self.fresh(window_s, now).next().is_none()
    }

    /// Whether the state service serves at least one peer, according to the heartbeat of that peer.
    pub fn any_served(&self, window_s: f64, now: f64) -> bool {
        self.fresh(window_s, now)
            .any(|heartbeat| heartbeat.state_service_ok)
    }

    /// Whether at least one peer has redirected workers to the leader. If this controller leads, the reason is probably
    /// that these workers could not reach this controller.
    pub fn any_redirected(&self, window_s: f64, now: f64) -> bool {
        self.fresh(window_s, now)
            .any(|heartbeat| heartbeat.redirected_workers > 0)
    }

    /// The highest epoch in the heartbeats of the peers, with its leader. Returns `None` if no peer has seen an epoch.
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

    /// Jobs that a leader among the peers considers crash-looping, which means that they fail on several workers
    /// without any success.
    pub fn crash_looping_jobs(&self, window_s: f64, now: f64) -> BTreeSet<String> {
        self.fresh(window_s, now)
            .flat_map(|heartbeat| heartbeat.crash_looping_jobs.iter().cloned())
            .collect()
    }

    /// Write operations per second of a peer on behalf of its users. Returns `None` if there is no fresh
    /// heartbeat of this peer.
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
