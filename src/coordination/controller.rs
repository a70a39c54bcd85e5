//! One controller: takes requests, answers and the passing of time, and says what is to be done.

use super::effects::{CloudRequestKind, CorrelationId, Effect, Effects, KvRequestKind};
use super::election::{Election, ElectionTimeouts, LeadershipChange};
use super::instance_catalog::InstanceCatalog;
use super::job_api::{self, JobApi};
use super::leader::{HeartbeatOutcome, LEADER_STATE_SHARE, Leader, LeaderEvent};
use super::peers::Peers;
use super::routes::Route;
use super::terminations::TerminationQueue;
use super::watch::{Watch, WatchUpdate};
use crate::bookkeeping::invariants::{self, Invariant};
use crate::bookkeeping::permits::ViewFreshness;
use crate::bookkeeping::quotas::Quotas;
use crate::bookkeeping::rate_limit;
use crate::bookkeeping::records::{self, LeaderRecord};
use crate::policy::Policy;
use crate::protocol::cloud::CloudResponse;
use crate::protocol::job::{self, JobSpec};
use crate::protocol::kv::KvResponse;
use crate::protocol::peer::PeerHeartbeat;
use crate::protocol::token::{InvalidFencingToken, MAX_EPOCH};
use crate::protocol::worker::{NotLeader, WorkerHeartbeat, WorkerResponse};
use crate::protocol::{cbor, kv};
use crate::settings::Settings;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The times of an input.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    /// Steady clock, in seconds since the controller started.
    pub monotonic: f64,
    /// Time of day, in seconds.
    pub wall: f64,
}

/// A controller.
pub struct Controller {
    settings: Rc<Settings>,
    policy: Rc<Policy>,
    effects: Effects,
    job_api: JobApi,
    jobs_watch: Watch,
    leader_watch: Watch,
    election: Election,
    leader: Option<Leader>,
    catalog: InstanceCatalog,
    quotas: Quotas,
    peers: Peers,
    terminations: TerminationQueue,
    /// Workers that came here while another controller leads, and when.
    redirected: BTreeMap<String, f64>,
    heartbeat_at: f64,
    /// When the users' changes were last shared out.
    write_budget_shared_at: f64,
    state_service_ok_at: Option<f64>,
    /// When the state service last refused this controller, or left a call of it unanswered.
    state_service_failed_at: f64,
    lease_grace_s: f64,
    rng: SmallRng,
}

/// Workers that were redirected lately and are remembered.
const MAX_REDIRECTED: usize = 4096;

/// Waits of the watch on the open jobs in a heartbeat interval: the longest time by which the view of them
/// is less current than it could be.
const WATCHES_PER_HEARTBEAT: f64 = 4.0;

/// Heartbeat intervals of silence from all workers that are more than chance.
const UNREACHABLE_HEARTBEATS: f64 = 1.6;

impl Controller {
    /// A controller that has just started; `seed` tells this life from others.
    pub fn new(settings: Rc<Settings>, policy: Rc<Policy>, seed: u64) -> Controller {
        let worker_settings = &settings.deployment.workers;
        let times = ElectionTimeouts::new(worker_settings);
        let request_timeout_s = worker_settings.heartbeat_interval_s / 2.0;
        let nodes = f64::from(settings.deployment.initial_size).max(1.0);
        let share = (1.0 - LEADER_STATE_SHARE) / nodes;
        Controller {
            effects: Effects::default(),
            job_api: JobApi::new(&settings.deployment.state, share, request_timeout_s),
            jobs_watch: Watch::new(
                records::OPEN_PREFIX,
                KvRequestKind::OpenJobsWatch,
                worker_settings.heartbeat_interval_s / WATCHES_PER_HEARTBEAT,
                request_timeout_s,
            ),
            leader_watch: Watch::new(
                records::LEADER_KEY,
                KvRequestKind::LeaderWatch,
                worker_settings.lease_s,
                request_timeout_s,
            ),
            election: Election::new(&settings.label, seed, times),
            leader: None,
            catalog: InstanceCatalog::new(worker_settings),
            quotas: Quotas::new(&settings.deployment.teams),
            peers: Peers::default(),
            terminations: TerminationQueue::new(
                &settings.label,
                seed,
                settings.peers.iter().map(|seed| seed.label.clone()),
                worker_settings.cancel_s,
            ),
            redirected: BTreeMap::new(),
            heartbeat_at: 0.0,
            write_budget_shared_at: 0.0,
            state_service_ok_at: None,
            state_service_failed_at: f64::NEG_INFINITY,
            lease_grace_s: times.lease_grace_s,
            rng: SmallRng::seed_from_u64(seed),
            settings,
            policy,
        }
    }

    /// Takes the actions that have come together.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects.queue)
    }

    /// Whether this controller leads, confirmed or within the lease grace period.
    pub fn is_leader(&self) -> bool {
        self.leader.is_some()
    }

    fn heartbeat_interval_s(&self) -> f64 {
        self.settings.deployment.workers.heartbeat_interval_s
    }

    // ---- requests of users and workers

    /// Takes a request.
    pub fn on_request(&mut self, to: u64, method: &str, path: &str, body: &[u8], now: Now) {
        match Route::parse(method, path) {
            Ok(Route::Health) => self.health(to, now.monotonic),
            Ok(Route::Report) => self.on_worker_heartbeat(to, body, now.monotonic),
            Ok(Route::Submit) => self.submit(to, body, now),
            Ok(Route::Poll(id)) => {
                self.job_api
                    .on_status_request(to, id, &mut self.effects, now.monotonic)
            }
            Ok(Route::Cancel(id)) => {
                self.job_api
                    .on_cancel(to, id, &mut self.effects, now.monotonic)
            }
            Err(error) => self
                .effects
                .respond_error(to, error.status(), &error.to_string(), None),
        }
    }

    fn submit(&mut self, to: u64, body: &[u8], now: Now) {
        let spec = match job::parse_submission(body, now.wall) {
            Ok(spec) => spec,
            Err(error) => {
                tracing::debug!(%error, "submission rejected");
                self.effects
                    .respond_error(to, 400, &error.to_string(), None);
                return;
            }
        };
        let Some(instance_types) = self.catalog.instance_types().cloned() else {
            self.effects
                .respond_error(to, 503, "the machine types are not known yet", Some(1));
            return;
        };
        let satisfiable = job_api::check_satisfiable(&spec, &self.quotas, &instance_types);
        self.job_api
            .on_submit(to, spec, satisfiable, &mut self.effects, now.monotonic);
    }

    fn health(&mut self, to: u64, now: f64) {
        let window_s = self.heartbeat_interval_s();
        let own = self
            .state_service_ok_at
            .is_some_and(|at| now - at < window_s);
        // A controller that the state service refuses says so only while a peer is served: removals
        // back off for long, and during an outage all controllers are equally good.
        let better = self.peers.any_served(window_s, now);
        if self.catalog.instance_types().is_some()
            && self.jobs_watch.is_complete()
            && (own || !better)
        {
            self.effects.respond(to, 200, &"ok");
        } else {
            self.effects.respond_error(to, 503, "not ready", Some(1));
        }
    }

    fn on_worker_heartbeat(&mut self, to: u64, body: &[u8], now: f64) {
        let heartbeat = match read_worker_heartbeat(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                tracing::warn!(%error, "worker heartbeat rejected");
                self.effects
                    .respond_error(to, 400, &error.to_string(), None);
                return;
            }
        };
        let change = self.election.observe_epoch(heartbeat.token.epoch());
        self.apply_leadership_change(change, now);
        let freshness = self.view_freshness(now);
        if let Some(leader) = &mut self.leader {
            let open = self.job_api.open_jobs();
            let is_open = |id: &str| open.contains(id);
            match leader.on_heartbeat(&heartbeat, &freshness, is_open, now) {
                HeartbeatOutcome::Commands(answer)
                    if is_within_hold_over(&freshness, &heartbeat) =>
                {
                    // What else follows from it waits for the next tick: heartbeats are many.
                    self.effects.respond(to, 200, &answer);
                    return;
                }
                // An answer that renews no lease: the worker comes again.
                HeartbeatOutcome::Commands(_) | HeartbeatOutcome::LeaseNotRenewed => {
                    self.effects
                        .respond_error(to, 503, "the open jobs aren't known", None);
                    return;
                }
                HeartbeatOutcome::NewerLeaderExists => {}
            }
        }
        if self.redirected.len() < MAX_REDIRECTED {
            self.redirected.insert(heartbeat.worker, now);
        }
        let leader_hint = self.leader_hint(now);
        self.effects.respond(to, 421, &NotLeader { leader_hint });
    }

    /// What this controller knows, and how old that is.
    fn view_freshness(&self, now: f64) -> ViewFreshness {
        let view_at = self.jobs_watch.current_at();
        self.election
            .view_freshness(view_at, self.state_service_failed_at, now)
    }

    /// The controller to which workers are sent: the leader, unless that is this controller or it is not
    /// certain that it still leads.
    fn leader_hint(&self, now: f64) -> Option<String> {
        let known = match self.peers.latest_leader(self.heartbeat_interval_s(), now) {
            Some((epoch, leader)) if epoch >= self.election.highest_epoch() => leader,
            _ => self.election.leader(),
        };
        let known = known.map(str::to_owned);
        known.filter(|label| *label != self.settings.label)
    }

    // ---- answers

    /// Takes an answer of the state service.
    pub fn on_kv_response(
        &mut self,
        correlation_id: CorrelationId,
        response: KvResponse,
        now: Now,
    ) {
        let Some((kind, sent)) = self.effects.take_kv_request(correlation_id) else {
            return;
        };
        let t = now.monotonic;
        let frontend_only = matches!(
            kind,
            KvRequestKind::RevisionCheck(_)
                | KvRequestKind::JobLookup(_)
                | KvRequestKind::KeepAlive
                | KvRequestKind::JobWrites(_)
        );
        if matches!(
            response,
            KvResponse::Unavailable | KvResponse::OutcomeUnknown
        ) {
            self.state_service_failed_at = t;
        } else {
            self.state_service_ok_at = Some(t);
        }
        match kind {
            KvRequestKind::OpenJobsWatch => {
                for news in self.jobs_watch.on_response(response, sent, t) {
                    self.apply_job_update(news, now);
                }
            }
            KvRequestKind::LeaderWatch => {
                for news in self.leader_watch.on_response(response, sent, t) {
                    self.apply_leader_update(news, t);
                }
            }
            KvRequestKind::GrantLease
            | KvRequestKind::Campaign
            | KvRequestKind::KeepAlive
            | KvRequestKind::RevokeLease => {
                let change =
                    self.election
                        .on_response(&kind, &response, sent, &mut self.effects, t);
                self.apply_leadership_change(change, t);
            }
            KvRequestKind::RevisionCheck(call) => {
                self.job_api
                    .on_revision_check_completed(call, response, &mut self.effects, t)
            }
            KvRequestKind::JobWrites(call) => {
                let opened = self
                    .job_api
                    .on_writes_completed(call, response, &mut self.effects, t);
                if let Some(leader) = &mut self.leader {
                    for job in opened {
                        leader.on_job_opened(job.mod_revision, &job.spec, t, now.wall);
                    }
                }
            }
            KvRequestKind::JobLookup(id) => {
                self.job_api
                    .on_lookup_completed(&id, response, &mut self.effects, t)
            }
            KvRequestKind::RecoveryRead(epoch) => {
                if let Some(leader) = self.leader_with_epoch(epoch) {
                    leader.on_recovery_page(response, t, now.wall);
                }
            }
            KvRequestKind::LogAppend(epoch) => {
                if let Some(leader) = self.leader.as_mut().filter(|l| l.epoch() == epoch) {
                    leader.on_commit_completed(response, &mut self.effects, t);
                }
            }
            KvRequestKind::LogReadBack(epoch) => {
                if let Some(leader) = self.leader.as_mut().filter(|l| l.epoch() == epoch) {
                    leader.on_read_back(response, &mut self.effects, t);
                }
            }
            KvRequestKind::InstanceCatalog => {
                if self.catalog.on_stored_types(&response) {
                    self.instance_types_changed();
                }
            }
            KvRequestKind::Ignored => {}
        }
        self.tell_leader_of_finished_jobs();
        if !frontend_only {
            self.poll_leader(t);
        }
    }

    /// Tells the leader of the jobs that the job API has learnt to be over: from its own transactions,
    /// from a look, or from a peer, long before the watch may tell.
    fn tell_leader_of_finished_jobs(&mut self) {
        for id in self.job_api.take_finished() {
            if let Some(leader) = &mut self.leader {
                leader.on_job_closed(&id);
            }
        }
    }

    fn leader_with_epoch(&mut self, epoch: u64) -> Option<&mut Leader> {
        self.leader
            .as_mut()
            .filter(|leader| leader.epoch() == epoch)
    }

    /// Takes an answer of the cloud.
    pub fn on_cloud_response(
        &mut self,
        correlation_id: CorrelationId,
        response: CloudResponse,
        now: Now,
    ) {
        let Some(kind) = self.effects.take_cloud_request(correlation_id) else {
            return;
        };
        let t = now.monotonic;
        match kind {
            CloudRequestKind::ListInstanceTypes => {
                if self.catalog.on_cloud_response(response, t) {
                    self.instance_types_changed();
                }
            }
            CloudRequestKind::ListInstances(epoch) => {
                if let Some(leader) = self.leader_with_epoch(epoch) {
                    leader.on_instances_listed(response, t);
                }
            }
            CloudRequestKind::CreateInstances(epoch, idempotency_key) => {
                if let Some(leader) = self.leader_with_epoch(epoch) {
                    leader.on_instances_created(&idempotency_key, response, t);
                }
            }
            CloudRequestKind::DeleteInstances(epoch, workers) => {
                if let Some(leader) = self.leader_with_epoch(epoch) {
                    leader.on_instances_deleted(&workers, &response, t);
                }
            }
        }
        self.poll_leader(t);
    }

    /// Takes what came of a direct call to a worker.
    pub fn on_worker_response(
        &mut self,
        correlation_id: CorrelationId,
        response: WorkerResponse,
        now: Now,
    ) {
        let Some(kind) = self.effects.take_worker_request(correlation_id) else {
            return;
        };
        if let Some(leader) = self.leader_with_epoch(kind.epoch) {
            leader.on_worker_response(&kind, response, now.monotonic);
        }
    }

    /// Takes a peer's word.
    pub fn on_peer_heartbeat(&mut self, heartbeat: PeerHeartbeat, now: Now) {
        let known = self
            .settings
            .peers
            .iter()
            .any(|seed| seed.label == heartbeat.label);
        if !known {
            return;
        }
        if heartbeat.epoch > MAX_EPOCH {
            tracing::warn!(
                label = heartbeat.label,
                epoch = heartbeat.epoch,
                "peer heartbeat rejected: epoch above what the state service can count; restart that controller"
            );
            return;
        }
        let change = self.election.observe_epoch(heartbeat.epoch);
        self.apply_leadership_change(change, now.monotonic);
        self.terminations
            .on_message(&heartbeat.label, &heartbeat.terminations);
        self.job_api
            .on_peer_terminations(&heartbeat.terminations.entries);
        self.tell_leader_of_finished_jobs();
        match &mut self.leader {
            Some(leader) if heartbeat.epoch >= leader.epoch() => {
                leader.acknowledged_by(&heartbeat.label, now.monotonic);
            }
            Some(_) => {}
            None => self.job_api.on_job_counts(&heartbeat.counts),
        }
        self.peers.record(heartbeat, now.monotonic);
    }

    fn instance_types_changed(&mut self) {
        if let (Some(leader), Some(instance_types)) =
            (&mut self.leader, self.catalog.instance_types())
        {
            leader.set_instance_types(instance_types.clone());
        }
    }

    fn apply_job_update(&mut self, news: WatchUpdate, now: Now) {
        match news {
            WatchUpdate::Reset(items, revision) => {
                let listed: BTreeMap<String, kv::KeyValue> = items
                    .into_iter()
                    .filter_map(|item| {
                        let id = item.key.strip_prefix(records::OPEN_PREFIX)?.to_owned();
                        Some((id, item))
                    })
                    .collect();
                let closed: Vec<String> = self
                    .job_api
                    .open_jobs()
                    .ids_up_to(revision)
                    .filter(|id| !listed.contains_key(*id))
                    .map(str::to_owned)
                    .collect();
                for id in closed {
                    self.on_job_closed(&id);
                }
                if let Some(leader) = &mut self.leader {
                    leader.on_open_jobs_listed(revision, listed.keys().cloned().collect());
                }
                for (id, item) in listed {
                    self.on_job_opened(&id, item.mod_revision, &item.value, now);
                }
            }
            WatchUpdate::Put(key, value, mod_revision) => {
                if let Some(id) = key.strip_prefix(records::OPEN_PREFIX) {
                    self.on_job_opened(id, mod_revision, &value, now);
                }
            }
            WatchUpdate::Deleted(key) => {
                if let Some(id) = key.strip_prefix(records::OPEN_PREFIX) {
                    self.on_job_closed(id);
                }
            }
        }
    }

    fn on_job_opened(&mut self, id: &str, mod_revision: u64, value: &ciborium::Value, now: Now) {
        match cbor::from_value::<JobSpec>(value) {
            Ok(spec) => {
                if let Some(leader) = &mut self.leader {
                    leader.on_job_opened(mod_revision, &spec, now.monotonic, now.wall);
                }
                self.job_api.on_job_opened(mod_revision, spec);
            }
            Err(error) => tracing::error!(id, %error, "job record unreadable"),
        }
    }

    fn on_job_closed(&mut self, id: &str) {
        self.job_api.on_job_closed(id);
        if let Some(leader) = &mut self.leader {
            leader.on_job_closed(id);
        }
    }

    fn apply_leader_update(&mut self, news: WatchUpdate, now: f64) {
        let jitter = self.rng.random::<f64>();
        let change = match news {
            WatchUpdate::Reset(items, _) => {
                let known = items
                    .iter()
                    .find(|item| item.key == records::LEADER_KEY)
                    .and_then(|item| Some((read_leader(&item.value)?, item.mod_revision)));
                self.election.observe_leader(known, jitter, now)
            }
            WatchUpdate::Put(key, value, mod_revision) if key == records::LEADER_KEY => {
                match read_leader(&value) {
                    Some(record) => {
                        self.election
                            .observe_leader(Some((record, mod_revision)), jitter, now)
                    }
                    None => LeadershipChange::None,
                }
            }
            WatchUpdate::Deleted(key) if key == records::LEADER_KEY => {
                self.election.on_leader_deleted(jitter, now)
            }
            _ => LeadershipChange::None,
        };
        self.apply_leadership_change(change, now);
    }

    // ---- leadership

    fn apply_leadership_change(&mut self, change: LeadershipChange, now: f64) {
        match change {
            LeadershipChange::None => {}
            LeadershipChange::Elected(epoch) => {
                tracing::info!(epoch, "leadership acquired");
                let instance_types = self.catalog.instance_types().cloned().unwrap_or_default();
                let mut leader = Leader::new(
                    epoch,
                    self.settings.clone(),
                    self.policy.clone(),
                    instance_types,
                    self.lease_grace_s,
                    SmallRng::from_rng(&mut self.rng),
                    now,
                );
                let told_s = self.settings.deployment.workers.cancel_s;
                leader.inherit_crash_looping(self.peers.crash_looping_jobs(told_s, now));
                self.leader = Some(leader);
                self.heartbeat_at = now;
            }
            LeadershipChange::Deposed => {
                if let Some(leader) = self.leader.take() {
                    tracing::info!(epoch = leader.epoch(), "leadership lost");
                }
            }
        }
    }

    /// Does all that is due.
    pub fn tick(&mut self, now: Now) {
        let t = now.monotonic;
        self.jobs_watch.poll(&mut self.effects, t);
        self.leader_watch.poll(&mut self.effects, t);
        let watching = self.leader_watch.is_complete();
        let change =
            self.election
                .poll(watching, self.jobs_watch.current_at(), &mut self.effects, t);
        self.apply_leadership_change(change, t);
        let leads = self.leader.is_some();
        self.catalog.poll(leads, &mut self.effects, t);
        self.job_api.send_due_requests(&mut self.effects, t);
        self.poll_heartbeats(t);
        self.resign_if_partitioned(t);
        self.poll_leader(t);
    }

    /// Leader's work, and what it has to tell the rest of the controller.
    fn poll_leader(&mut self, now: f64) {
        self.jobs_watch.poll(&mut self.effects, now);
        self.leader_watch.poll(&mut self.effects, now);
        let freshness = self.view_freshness(now);
        let Some(leader) = &mut self.leader else {
            return;
        };
        leader.poll(&freshness, &mut self.effects, now);
        for event in leader.take_events() {
            let change = match event {
                LeaderEvent::JobFinished(id, record) => {
                    self.job_api.announce_finished(&id, record);
                    LeadershipChange::None
                }
                LeaderEvent::HigherEpochSeen(epoch) => self.election.observe_epoch(epoch),
                LeaderEvent::Deposed => self.election.on_deposed(),
            };
            self.apply_leadership_change(change, now);
        }
    }

    fn poll_heartbeats(&mut self, now: f64) {
        if now < self.heartbeat_at {
            return;
        }
        self.heartbeat_at = now + self.heartbeat_interval_s() / 2.5;
        self.effects.log_refusals();
        let window_s = self.heartbeat_interval_s() * 2.0;
        self.redirected.retain(|_, at| now - *at < window_s);
        let counts = match &self.leader {
            Some(leader) => leader.job_counts(),
            None => Vec::new(),
        };
        let crash_looping_jobs = match &self.leader {
            Some(leader) => leader.crash_looping_jobs(),
            None => Vec::new(),
        };
        self.job_api.on_job_counts(&counts);
        let changes_per_s = self.share_write_budget(now);
        self.terminations.push(self.job_api.take_updates(), now);
        let heartbeat = PeerHeartbeat {
            label: self.settings.label.clone(),
            epoch: self.election.highest_epoch(),
            leader: self.election.leader().map(str::to_owned),
            state_service_ok: self
                .state_service_ok_at
                .is_some_and(|at| now - at < self.heartbeat_interval_s()),
            redirected_workers: self.redirected.len() as u32,
            counts,
            crash_looping_jobs,
            changes_per_s,
            terminations: self.terminations.next_message(now),
        };
        self.effects
            .queue
            .push(Effect::BroadcastHeartbeat(heartbeat));
    }

    /// Takes the part of the users' changes that peers don't use, and returns the rate at which this
    /// controller has used it since the last time.
    fn share_write_budget(&mut self, now: f64) -> f64 {
        let window_s = self.heartbeat_interval_s() * 2.0;
        let others: Vec<Option<f64>> = self
            .settings
            .peers
            .iter()
            .map(|seed| {
                let peers = &self.peers;
                peers.changes_per_s(&seed.label, window_s, now)
            })
            .collect();
        let budget = self.settings.deployment.state.write_rps * (1.0 - LEADER_STATE_SHARE);
        self.job_api
            .set_write_rate(rate_limit::fair_share_rate(budget, &others), now);
        let since_s = (now - self.write_budget_shared_at).max(f64::EPSILON);
        self.write_budget_shared_at = now;
        self.job_api.take_writes_made() / since_s
    }

    /// A leader that workers can't reach gives up its lease, when they come to its peers or when
    /// the peers are silent too.
    fn resign_if_partitioned(&mut self, now: f64) {
        let Some(leader) = &self.leader else { return };
        let silent_s = leader.unresponsive_for(now);
        if self.settings.peers.is_empty()
            || silent_s < UNREACHABLE_HEARTBEATS * self.heartbeat_interval_s()
        {
            return;
        }
        let fresh = self.heartbeat_interval_s() * 2.0;
        let alone = self.peers.none_fresh(fresh, now);
        let knocked = self.peers.any_redirected(fresh, now);
        if knocked || (alone && silent_s > self.settings.deployment.workers.lease_s / 2.0) {
            tracing::info!("leadership resigned: workers cannot reach this controller");
            let change = self.election.resign(&mut self.effects, now);
            self.apply_leadership_change(change, now);
        }
    }
}

/// Why a heartbeat is refused.
#[derive(Debug, thiserror::Error)]
enum HeartbeatError {
    #[error("not a report: {0}")]
    Malformed(#[from] cbor::CborError),
    #[error(transparent)]
    FencingToken(#[from] InvalidFencingToken),
}

fn read_worker_heartbeat(body: &[u8]) -> Result<WorkerHeartbeat, HeartbeatError> {
    let heartbeat = cbor::decode::<WorkerHeartbeat>(body)?;
    heartbeat.token.check()?;
    Ok(heartbeat)
}

/// Whether an answer that renews a worker's lease may leave, by other means than those that allowed it.
fn is_within_hold_over(freshness: &ViewFreshness, heartbeat: &WorkerHeartbeat) -> bool {
    let age_s = freshness.lease_age_s.max(freshness.view_age_s);
    let within = age_s <= freshness.limits.lease_grace_s;
    let details = format_args!("worker {}, after {age_s} s", heartbeat.worker);
    invariants::uphold(Invariant::NoRenewalBeyondLeaseGrace, within, details)
}

fn read_leader(value: &ciborium::Value) -> Option<LeaderRecord> {
    cbor::from_value(value).ok()
}
