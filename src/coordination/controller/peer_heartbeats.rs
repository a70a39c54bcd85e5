//! Heartbeats between controllers: sending this controller's own and processing those of its peers.

use super::{Controller, Now};
use crate::coordination::effects::Effect;
use crate::protocol::peer::PeerHeartbeat;
use crate::protocol::token::MAX_EPOCH;

/// Number of heartbeats to the peers per heartbeat interval of workers.
const PEER_HEARTBEATS_PER_INTERVAL: f64 = 2.5;

impl Controller {
    /// Processes a heartbeat of a peer.
    pub fn on_peer_heartbeat(&mut self, heartbeat: PeerHeartbeat, now: Now) {
        if !self.accepts_heartbeat(&heartbeat) {
            return;
        }
        let now = now.monotonic;
        let change = self.election.observe_epoch(heartbeat.epoch);
        self.apply_leadership_change(change, now);
        self.terminations
            .on_message(&heartbeat.label, &heartbeat.terminations);
        self.job_api
            .on_peer_terminations(&heartbeat.terminations.entries);
        self.notify_leader_of_finished_jobs();
        match &mut self.leader {
            Some(leader) if heartbeat.epoch >= leader.epoch() => {
                leader.on_epoch_acknowledged(&heartbeat.label, now);
            }
            // Job counts with a lower epoch are out of date: they come from a former leader that has not noticed its
            // successor yet.
            None if heartbeat.epoch >= self.election.highest_epoch() => {
                self.job_api.on_job_counts(&heartbeat.counts);
            }
            Some(_) | None => {}
        }
        self.peers.record(heartbeat, now);
    }

    /// Whether a heartbeat comes from a configured peer, and its epoch is at most the highest that fits into a
    /// fencing token.
    fn accepts_heartbeat(&self, heartbeat: &PeerHeartbeat) -> bool {
        let peers = &self.settings.peers;
        if !peers.iter().any(|peer| peer.label == heartbeat.label) {
            return false;
        }
        if heartbeat.epoch > MAX_EPOCH {
            tracing::warn!(
                label = heartbeat.label,
                epoch = heartbeat.epoch,
                "peer heartbeat rejected: epoch too high for fencing tokens; restart that controller"
            );
            return false;
        }
        true
    }

    /// Sends a heartbeat to the peers if one is due, and then also logs the requests rejected since the previous one.
    pub(super) fn poll_heartbeats(&mut self, now: f64) {
        if now < self.heartbeat_at {
            return;
        }
        self.heartbeat_at = now + self.heartbeat_interval_s() / PEER_HEARTBEATS_PER_INTERVAL;
        self.effects.log_rejections();
        let window_s = self.peer_freshness_s();
        self.redirected.expire(window_s, now);
        let heartbeat = self.next_heartbeat(now);
        let effect = Effect::BroadcastHeartbeat(heartbeat);
        self.effects.queue.push(effect);
    }

    fn next_heartbeat(&mut self, now: f64) -> PeerHeartbeat {
        let leader = self.leader.as_ref();
        let counts = leader.map(|l| l.job_counts()).unwrap_or_default();
        let crash_looping_jobs = leader.map(|l| l.crash_looping_jobs()).unwrap_or_default();
        self.job_api.on_job_counts(&counts);
        let peer_rates = self.peer_write_rates(now);
        let user_writes_per_s = self.write_budget.share(&peer_rates, &mut self.job_api, now);
        self.terminations
            .push(self.job_api.take_unannounced_terminations(), now);
        let window_s = self.heartbeat_interval_s();
        PeerHeartbeat {
            label: self.settings.label.clone(),
            epoch: self.election.highest_epoch(),
            leader: self.election.leader().map(str::to_owned),
            state_service_ok: self.state_service.was_ok_within(window_s, now),
            redirected_workers: self.redirected.count(),
            counts,
            crash_looping_jobs,
            user_writes_per_s,
            terminations: self.terminations.next_message(now),
        }
    }

    /// Write operations per second of each peer on behalf of its users, or `None` for a peer without a recent
    /// heartbeat.
    fn peer_write_rates(&self, now: f64) -> Vec<Option<f64>> {
        let window_s = self.peer_freshness_s();
        let peers = self.settings.peers.iter();
        peers
            .map(|peer| self.peers.user_writes_per_s(&peer.label, window_s, now))
            .collect()
    }
}
