//! The controller: a state machine that processes requests, responses and clock ticks, and queues effects.
//!
//! The controller dispatches each input to the component that handles it. It then notifies the other components
//! of the changes that concern them: changes of leadership, and jobs that were opened or closed.

mod health;
mod leader_key;
mod leadership;
mod open_jobs;
mod peer_heartbeats;
mod redirected_workers;
mod worker_heartbeats;
mod write_budget;

use super::effects::{
    CloudRequestContext, CorrelationId, Effect, Effects, KvRequestContext, PendingKvRequest,
};
use super::election::{Election, ElectionTimeouts};
use super::instance_catalog::InstanceCatalog;
use super::job_api::{self, JobApi};
use super::leader::{LEADER_STATE_SHARE, Leader};
use super::peers::Peers;
use super::routes::Route;
use super::terminations::TerminationQueue;
use super::watch::{Watch, WatchUpdate};
use crate::bookkeeping::quotas::Quotas;
use crate::bookkeeping::records;
use crate::policy::Policy;
use crate::protocol::cloud::CloudResponse;
use crate::protocol::job;
use crate::protocol::kv::KvResponse;
use crate::protocol::worker::WorkerResponse;
use crate::settings::{Settings, WorkerSettings};
use health::{Readiness, StateServiceHealth};
use open_jobs::OpenJobsObservers;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use redirected_workers::RedirectedWorkers;
use std::rc::Rc;
use write_budget::WriteBudget;

/// Number of watch requests on the open jobs per heartbeat interval of workers. Each waits for changes for the
/// heartbeat interval divided by this number. Only its response confirms that the view of the open jobs is current.
const WATCHES_PER_HEARTBEAT: f64 = 4.0;
/// Timeout of requests to the state service, in heartbeat intervals of workers.
const REQUEST_TIMEOUT_HEARTBEATS: f64 = 0.5;
/// Age below which a peer's heartbeat counts as recent, in heartbeat intervals of workers.
const PEER_FRESHNESS_HEARTBEATS: f64 = 2.0;

/// The time at which an input is processed, by two clocks.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    /// Monotonic clock, in seconds since the controller started.
    pub monotonic: f64,
    /// Wall clock, in seconds since the Unix epoch.
    pub wall: f64,
}

/// A controller of the cluster. The controllers elect one of them as the leader; all of them serve users.
pub struct Controller {
    settings: Rc<Settings>,
    policy: Rc<Policy>,
    effects: Effects,
    job_api: JobApi,
    jobs_watch: Watch,
    leader_watch: Watch,
    election: Election,
    /// The leader's state, present while this controller leads.
    leader: Option<Leader>,
    catalog: InstanceCatalog,
    quotas: Quotas,
    peers: Peers,
    terminations: TerminationQueue,
    redirected: RedirectedWorkers,
    write_budget: WriteBudget,
    state_service: StateServiceHealth,
    /// When the next heartbeat to the peers is due.
    heartbeat_at: f64,
    lease_grace_s: f64,
    rng: SmallRng,
}

impl Controller {
    /// Creates a controller that has just started. `seed` initializes the random number generator and
    /// distinguishes this process from earlier processes of the same controller.
    pub fn new(settings: Rc<Settings>, policy: Rc<Policy>, seed: u64) -> Controller {
        let deployment = &settings.deployment;
        let workers = &deployment.workers;
        let timeouts = ElectionTimeouts::new(workers);
        let request_timeout_s = workers.heartbeat_interval_s * REQUEST_TIMEOUT_HEARTBEATS;
        let controllers = f64::from(deployment.initial_size).max(1.0);
        let users_share = 1.0 - LEADER_STATE_SHARE;
        Controller {
            effects: Effects::default(),
            job_api: JobApi::new(
                &deployment.state,
                users_share / controllers,
                request_timeout_s,
            ),
            jobs_watch: open_jobs_watch(workers, request_timeout_s),
            leader_watch: leader_watch(workers, request_timeout_s),
            election: Election::new(&settings.label, seed, timeouts),
            leader: None,
            catalog: InstanceCatalog::new(workers),
            quotas: Quotas::new(&deployment.teams),
            peers: Peers::default(),
            terminations: TerminationQueue::new(
                &settings.label,
                seed,
                settings.peers.iter().map(|peer| peer.label.clone()),
                workers.cancel_s,
            ),
            redirected: RedirectedWorkers::default(),
            write_budget: WriteBudget::new(deployment.state.write_rps * users_share),
            state_service: StateServiceHealth::new(),
            heartbeat_at: 0.0,
            lease_grace_s: timeouts.lease_grace_s,
            rng: SmallRng::seed_from_u64(seed),
            settings,
            policy,
        }
    }

    /// Removes and returns the queued effects.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects.queue)
    }

    /// Whether this controller leads. If the renewals of its lease fail, it still leads for the lease grace period
    /// (see [`ElectionTimeouts::new`]).
    pub fn is_leader(&self) -> bool {
        self.leader.is_some()
    }

    fn heartbeat_interval_s(&self) -> f64 {
        self.settings.deployment.workers.heartbeat_interval_s
    }

    /// Age in seconds below which a peer's heartbeat counts as recent.
    fn peer_freshness_s(&self) -> f64 {
        self.heartbeat_interval_s() * PEER_FRESHNESS_HEARTBEATS
    }

    // ---- requests of users and workers

    /// Processes a request of a user, a worker or the load balancer.
    pub fn on_request(&mut self, request_id: u64, method: &str, path: &str, body: &[u8], now: Now) {
        let route = match Route::parse(method, path) {
            Ok(route) => route,
            Err(error) => {
                self.effects
                    .respond_error(request_id, error.status(), &error.to_string(), None);
                return;
            }
        };
        match route {
            Route::Health => self.on_health_check(request_id, now.monotonic),
            Route::Report => self.on_worker_heartbeat(request_id, body, now.monotonic),
            Route::Submit => self.on_submit(request_id, body, now),
            Route::Poll(id) => {
                self.job_api
                    .on_status_request(request_id, id, &mut self.effects, now.monotonic);
            }
            Route::Cancel(id) => {
                self.job_api
                    .on_cancel(request_id, id, &mut self.effects, now.monotonic);
            }
        }
    }

    fn on_health_check(&mut self, request_id: u64, now: f64) {
        let window_s = self.heartbeat_interval_s();
        let readiness = Readiness {
            instance_types_known: self.catalog.instance_types().is_some(),
            open_jobs_known: self.jobs_watch.is_complete(),
            state_service_ok: self.state_service.was_ok_within(window_s, now),
            peer_state_service_ok: self.peers.any_served(window_s, now),
        };
        if readiness.is_ready() {
            self.effects.respond(request_id, 200, &"ok");
        } else {
            self.effects
                .respond_error(request_id, 503, "not ready", Some(1));
        }
    }

    fn on_submit(&mut self, request_id: u64, body: &[u8], now: Now) {
        let spec = match job::parse_submission(body, now.wall) {
            Ok(spec) => spec,
            Err(error) => {
                tracing::debug!(%error, "submission rejected");
                self.effects
                    .respond_error(request_id, 400, &error.to_string(), None);
                return;
            }
        };
        let Some(instance_types) = self.catalog.instance_types() else {
            let reason = "the machine types are not known yet";
            self.effects.respond_error(request_id, 503, reason, Some(1));
            return;
        };
        let satisfiable = job_api::check_satisfiable(&spec, &self.quotas, instance_types);
        self.job_api.on_submit(
            request_id,
            spec,
            satisfiable,
            &mut self.effects,
            now.monotonic,
        );
    }

    // ---- responses

    /// Processes a response of the state service.
    pub fn on_kv_response(
        &mut self,
        correlation_id: CorrelationId,
        response: KvResponse,
        now: Now,
    ) {
        let Some(pending) = self.effects.take_kv_request(correlation_id) else {
            return;
        };
        self.state_service
            .observe_response(&response, now.monotonic);
        let needs_leader_poll = pending.context.needs_leader_poll();
        self.dispatch_kv_response(pending, response, now);
        self.notify_leader_of_finished_jobs();
        if needs_leader_poll {
            self.poll_leader(now.monotonic);
        }
    }

    /// Passes a response to the component that sent the request.
    fn dispatch_kv_response(&mut self, request: PendingKvRequest, response: KvResponse, now: Now) {
        let PendingKvRequest { context, sent_at } = request;
        let t = now.monotonic;
        let effects = &mut self.effects;
        match context {
            KvRequestContext::OpenJobsWatch => {
                let updates = self.jobs_watch.on_response(response, sent_at, t);
                self.apply_open_jobs_updates(updates, now);
            }
            KvRequestContext::LeaderWatch => {
                let updates = self.leader_watch.on_response(response, sent_at, t);
                self.apply_leader_key_updates(updates, t);
            }
            KvRequestContext::GrantLease
            | KvRequestContext::Campaign
            | KvRequestContext::KeepAlive
            | KvRequestContext::RevokeLease => {
                let change = self
                    .election
                    .on_response(&context, &response, sent_at, effects, t);
                self.apply_leadership_change(change, t);
            }
            KvRequestContext::RevisionCheck(check) => {
                self.job_api
                    .on_revision_check_completed(check, response, effects, t);
            }
            KvRequestContext::JobLookup(id) => {
                self.job_api.on_lookup_completed(&id, response, effects, t);
            }
            KvRequestContext::JobWrites(batch) => {
                self.on_job_writes_completed(batch, response, now);
            }
            KvRequestContext::RecoveryRead(epoch)
            | KvRequestContext::LogAppend(epoch)
            | KvRequestContext::LogReadBack(epoch) => {
                self.on_leader_kv_response(&context, epoch, response, now);
            }
            KvRequestContext::InstanceCatalog => {
                let changed = self.catalog.on_kv_response(&response);
                self.update_leader_instance_types(changed);
            }
        }
    }

    fn on_job_writes_completed(&mut self, batch: u64, response: KvResponse, now: Now) {
        let opened =
            self.job_api
                .on_writes_completed(batch, response, &mut self.effects, now.monotonic);
        if let Some(leader) = &mut self.leader {
            for job in opened {
                leader.on_job_opened(job.mod_revision, &job.spec, now.monotonic, now.wall);
            }
        }
    }

    /// Passes a response to the leader. Ignores the response if this controller no longer leads with the epoch in
    /// which the request was sent.
    fn on_leader_kv_response(
        &mut self,
        context: &KvRequestContext,
        epoch: u64,
        response: KvResponse,
        now: Now,
    ) {
        let t = now.monotonic;
        let leader = self.leader.as_mut();
        let Some(leader) = leader.filter(|leader| leader.epoch() == epoch) else {
            return;
        };
        match context {
            KvRequestContext::RecoveryRead(_) => leader.on_recovery_page(response, t, now.wall),
            KvRequestContext::LogAppend(_) => {
                leader.on_commit_response(response, &mut self.effects, t);
            }
            _ => leader.on_commit_read_back(response, &mut self.effects, t),
        }
    }

    fn apply_open_jobs_updates(&mut self, updates: Vec<WatchUpdate>, now: Now) {
        let mut observers = OpenJobsObservers {
            job_api: &mut self.job_api,
            leader: self.leader.as_mut(),
        };
        for update in updates {
            observers.apply(update, now);
        }
    }

    fn apply_leader_key_updates(&mut self, updates: Vec<WatchUpdate>, now: f64) {
        for update in updates {
            let jitter = self.rng.random::<f64>();
            let change = leader_key::apply(update, &mut self.election, jitter, now);
            self.apply_leadership_change(change, now);
        }
    }

    /// Passes the instance types to the leader, if this controller leads and `changed` is true.
    fn update_leader_instance_types(&mut self, changed: bool) {
        if changed
            && let Some(leader) = &mut self.leader
            && let Some(instance_types) = self.catalog.instance_types()
        {
            leader.set_instance_types(instance_types.clone());
        }
    }

    /// Processes a response of the cloud.
    pub fn on_cloud_response(
        &mut self,
        correlation_id: CorrelationId,
        response: CloudResponse,
        now: Now,
    ) {
        let Some(context) = self.effects.take_cloud_request(correlation_id) else {
            return;
        };
        let t = now.monotonic;
        match context {
            CloudRequestContext::ListInstanceTypes => {
                let changed = self.catalog.on_cloud_response(response, t);
                self.update_leader_instance_types(changed);
            }
            CloudRequestContext::ListInstances(epoch) => {
                if let Some(leader) = self.leader_with_epoch(epoch) {
                    leader.on_instances_listed(response, t);
                }
            }
            CloudRequestContext::CreateInstances(epoch, idempotency_key) => {
                if let Some(leader) = self.leader_with_epoch(epoch) {
                    leader.on_instances_created(&idempotency_key, response, t);
                }
            }
            CloudRequestContext::DeleteInstances(epoch, workers) => {
                if let Some(leader) = self.leader_with_epoch(epoch) {
                    leader.on_instances_deleted(&workers, &response, t);
                }
            }
        }
        self.poll_leader(t);
    }

    /// Processes the outcome of a direct call, which sends commands to a worker without waiting for its heartbeat.
    pub fn on_worker_response(
        &mut self,
        correlation_id: CorrelationId,
        response: WorkerResponse,
        now: Now,
    ) {
        let Some(context) = self.effects.take_worker_request(correlation_id) else {
            return;
        };
        if let Some(leader) = self.leader_with_epoch(context.epoch) {
            leader.on_worker_response(&context, response, now.monotonic);
        }
    }

    // ---- periodic work

    /// Performs all work that is due. The event loop calls this at regular intervals.
    pub fn tick(&mut self, now: Now) {
        let t = now.monotonic;
        self.jobs_watch.poll(&mut self.effects, t);
        self.leader_watch.poll(&mut self.effects, t);
        let leader_key_known = self.leader_watch.is_complete();
        let view_current_as_of = self.jobs_watch.current_as_of();
        let change = self
            .election
            .poll(leader_key_known, view_current_as_of, &mut self.effects, t);
        self.apply_leadership_change(change, t);
        let epoch = self.leader.as_ref().map(Leader::epoch);
        self.catalog.poll(epoch, &mut self.effects, t);
        self.job_api.send_due_requests(&mut self.effects, t);
        self.poll_heartbeats(t);
        self.resign_if_partitioned(t);
        self.poll_leader(t);
    }
}

fn open_jobs_watch(workers: &WorkerSettings, request_timeout_s: f64) -> Watch {
    Watch::new(
        records::OPEN_PREFIX,
        KvRequestContext::OpenJobsWatch,
        workers.heartbeat_interval_s / WATCHES_PER_HEARTBEAT,
        request_timeout_s,
    )
}

fn leader_watch(workers: &WorkerSettings, request_timeout_s: f64) -> Watch {
    Watch::new(
        records::LEADER_KEY,
        KvRequestContext::LeaderWatch,
        workers.lease_s,
        request_timeout_s,
    )
}
