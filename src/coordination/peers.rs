//! What the other controllers have told lately.

use crate::protocol::peer::PeerHeartbeat;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug)]
struct Peer {
    heartbeat: PeerHeartbeat,
    at: f64,
}

/// The latest heartbeat of each peer.
#[derive(Debug, Default)]
pub struct Peers {
    known: BTreeMap<String, Peer>,
}

impl Peers {
    /// Takes a heartbeat.
    pub fn record(&mut self, heartbeat: PeerHeartbeat, now: f64) {
        let label = heartbeat.label.clone();
        let peer = Peer { heartbeat, at: now };
        self.known.insert(label, peer);
    }

    /// The heartbeats that were heard within so long.
    fn fresh(&self, within_s: f64, now: f64) -> impl Iterator<Item = &PeerHeartbeat> {
        let fresh = self.known.values();
        let fresh = fresh.filter(move |peer| now - peer.at < within_s);
        fresh.map(|peer| &peer.heartbeat)
    }

    /// Whether nobody was heard within so long.
    pub fn none_fresh(&self, within_s: f64, now: f64) -> bool {
        self.fresh(within_s, now).next().is_none()
    }

    /// Whether the state service has lately answered some peer.
    pub fn any_served(&self, within_s: f64, now: f64) -> bool {
        self.fresh(within_s, now)
            .any(|heartbeat| heartbeat.state_service_ok)
    }

    /// Whether workers have lately come to some peer while this controller leads.
    pub fn any_redirected(&self, within_s: f64, now: f64) -> bool {
        self.fresh(within_s, now)
            .any(|heartbeat| heartbeat.redirected_workers > 0)
    }

    /// The highest epoch that peers have told, and who leads with it.
    pub fn latest_leader(&self, within_s: f64, now: f64) -> Option<(u64, Option<&str>)> {
        let told = self.fresh(within_s, now);
        let told = told.filter(|heartbeat| heartbeat.epoch > 0);
        let latest = told.max_by_key(|heartbeat| heartbeat.epoch)?;
        Some((latest.epoch, latest.leader.as_deref()))
    }

    /// Jobs that leaders have told to be crash-looping.
    pub fn crash_looping_jobs(&self, within_s: f64, now: f64) -> BTreeSet<String> {
        let told = self.fresh(within_s, now);
        told.flat_map(|heartbeat| heartbeat.crash_looping_jobs.iter().cloned())
            .collect()
    }

    /// Changes a second that a peer makes for its users; none: it was not heard within so long.
    pub fn changes_per_s(&self, label: &str, within_s: f64, now: f64) -> Option<f64> {
        let peer = self.known.get(label)?;
        let fresh = now - peer.at < within_s;
        fresh.then_some(peer.heartbeat.changes_per_s)
    }
}
