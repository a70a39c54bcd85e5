//! Start and end of leadership, and the exchange of events between the leader and the other components.

use super::Controller;
use crate::bookkeeping::permits::ViewFreshness;
use crate::coordination::election::LeadershipChange;
use crate::coordination::leader::{Leader, LeaderConfig, LeaderEvent};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Silence of all workers, in heartbeat intervals, after which the leader may conclude that they cannot reach it.
/// A shorter silence can occur by chance.
const UNREACHABLE_HEARTBEATS: f64 = 1.6;

impl Controller {
    pub(super) fn apply_leadership_change(&mut self, change: LeadershipChange, now: f64) {
        match change {
            LeadershipChange::None => {}
            LeadershipChange::Elected(epoch) => {
                tracing::info!(epoch, "leadership acquired");
                self.leader = Some(self.new_leader(epoch, now));
                self.heartbeat_at = now;
            }
            LeadershipChange::Deposed => {
                if let Some(leader) = self.leader.take() {
                    tracing::info!(epoch = leader.epoch(), "leadership lost");
                }
            }
        }
    }

    fn new_leader(&mut self, epoch: u64, now: f64) -> Leader {
        let instance_types = self.catalog.instance_types().cloned().unwrap_or_default();
        let config = LeaderConfig {
            epoch,
            settings: self.settings.clone(),
            policy: self.policy.clone(),
            instance_types,
            lease_grace_s: self.lease_grace_s,
        };
        let mut leader = Leader::new(config, SmallRng::from_rng(&mut self.rng), now);
        let window_s = self.settings.deployment.workers.cancel_s;
        leader.inherit_crash_looping(self.peers.crash_looping_jobs(window_s, now));
        leader
    }

    /// Returns the leader if its epoch is `epoch`. Responses to requests of an earlier term are ignored.
    pub(super) fn leader_with_epoch(&mut self, epoch: u64) -> Option<&mut Leader> {
        self.leader
            .as_mut()
            .filter(|leader| leader.epoch() == epoch)
    }

    /// Freshness of this controller's view of the cluster.
    pub(super) fn view_freshness(&self, now: f64) -> ViewFreshness {
        let view_current_as_of = self.jobs_watch.current_as_of();
        self.election
            .view_freshness(view_current_as_of, self.state_service.failed_at(), now)
    }

    /// Polls the watches. If this controller leads, also performs the leader's work that is due, and applies the
    /// events that the leader emits.
    pub(super) fn poll_leader(&mut self, now: f64) {
        self.jobs_watch.poll(&mut self.effects, now);
        self.leader_watch.poll(&mut self.effects, now);
        let freshness = self.view_freshness(now);
        let Some(leader) = &mut self.leader else {
            return;
        };
        leader.poll(&freshness, &mut self.effects, now);
        for event in leader.take_events() {
            let change = match event {
                LeaderEvent::JobFinished { job, record } => {
                    self.job_api.announce_finished(&job, record);
                    LeadershipChange::None
                }
                LeaderEvent::JobClosed { job } => {
                    self.job_api.on_job_closed(&job);
                    LeadershipChange::None
                }
                LeaderEvent::HigherEpochSeen(epoch) => self.election.observe_epoch(epoch),
                LeaderEvent::Deposed => self.election.on_deposed(),
            };
            self.apply_leadership_change(change, now);
        }
    }

    /// Notifies the leader of finished jobs that the job API has discovered through its own transactions, a
    /// lookup or a peer. The watch may deliver the deletions of their `open/` keys much later.
    pub(super) fn notify_leader_of_finished_jobs(&mut self) {
        for id in self.job_api.take_newly_finished() {
            if let Some(leader) = &mut self.leader {
                leader.on_job_closed(&id);
            }
        }
    }

    /// Resigns if this leader concludes that workers cannot reach it. It concludes this in two cases: all workers have
    /// been silent for [`UNREACHABLE_HEARTBEATS`] heartbeat intervals and a peer has recently redirected workers; or
    /// all workers have been silent for that time and for half the duration of a worker's lease, and no peer has sent
    /// a recent heartbeat. A leader without configured peers does not resign.
    pub(super) fn resign_if_partitioned(&mut self, now: f64) {
        let Some(leader) = &self.leader else { return };
        let silent_s = leader.worker_contact_lost_s(now);
        if self.settings.peers.is_empty()
            || silent_s < UNREACHABLE_HEARTBEATS * self.heartbeat_interval_s()
        {
            return;
        }
        let window_s = self.peer_freshness_s();
        let isolated = self.peers.none_fresh(window_s, now);
        let redirected = self.peers.any_redirected(window_s, now);
        let lease_s = self.settings.deployment.workers.lease_s;
        if redirected || (isolated && silent_s > lease_s / 2.0) {
            // That workers cannot reach this controller is concluded from their silence.
            tracing::info!("leadership resigned: workers cannot reach this controller");
            let change = self.election.resign(&mut self.effects, now);
            self.apply_leadership_change(change, now);
        }
    }
}
