//! The fleet: what is rented, what is released, and the cloud's list.

use super::Leader;
use crate::bookkeeping::permits;
use crate::bookkeeping::rate_limit::TokenBucket;
use crate::bookkeeping::records::{self, ProvisioningRecord};
use crate::bookkeeping::wal::LogEntry;
use crate::bookkeeping::workers::Worker;
use crate::coordination::autoscaler::{self, RateMeter};
use crate::coordination::effects::{CloudRequestKind, Effects};
use crate::protocol::cloud::{
    CloudRequest, CloudResponse, CreateInstances, Instance, InstanceStatus,
    MAX_INSTANCES_PER_CREATE, MAX_INSTANCES_PER_DELETE,
};
use crate::protocol::job::PriorityClass;
use crate::protocol::kv::WriteOp;
use crate::settings::Settings;
use std::collections::{BTreeMap, HashMap};

/// Why a machine is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ScaleInReason {
    /// The cloud takes it.
    Reclaimed,
    /// It has not come up in time.
    BootTimedOut,
    /// It has missed its heartbeats, and left direct calls unanswered.
    Unresponsive,
    /// Its heartbeats arrive, but no answer or command reaches it.
    Unreachable,
    /// Tasks of several jobs fail on it that succeed elsewhere.
    FailsTasks,
    /// The cloud lists it no longer.
    NotListed,
    /// The cloud lists it as failed.
    Failed,
    /// Nothing is bound to it, and it is not needed.
    Idle,
    /// Its fence can't be raised any further.
    FenceExhausted,
}

/// A pool of machines: type, zone, and whether spot.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolKey {
    /// Machine type.
    pub instance_type: String,
    /// Zone.
    pub zone: String,
    /// Spot machines.
    pub spot: bool,
}

impl std::fmt::Display for PoolKey {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let kind = if self.spot { "spot" } else { "ordinary" };
        write!(f, "{}/{}/{kind}", self.instance_type, self.zone)
    }
}

/// How far a provisioning request has come.
#[derive(Debug, Clone, PartialEq)]
enum ProvisioningState {
    /// Its record is being written.
    Recording,
    /// To be sent, or sent again, from this time on.
    Ready(f64),
    /// On its way.
    InFlight,
    /// These machines were rented; they are not all seen yet.
    Created(Vec<String>),
    /// Its record is being removed.
    Completing,
}

#[derive(Debug, Clone)]
struct ProvisioningRequest {
    record: ProvisioningRecord,
    state: ProvisioningState,
    /// The most urgent work that it is for, and the order within that.
    queue_position: (PriorityClass, u64),
    /// It may have reached the cloud.
    sent: bool,
}

impl ProvisioningRequest {
    fn pool(&self) -> PoolKey {
        PoolKey {
            instance_type: self.record.instance_type.clone(),
            zone: self.record.zone.clone(),
            spot: self.record.spot,
        }
    }
    /// Machines that may come of it and are not in the table yet.
    fn instances_expected(&self) -> u32 {
        match self.state {
            ProvisioningState::Created(_) | ProvisioningState::Completing => 0,
            _ => self.record.count,
        }
    }
}

#[derive(Debug, Default)]
pub(super) struct Pool {
    blocked_until: f64,
    block_s: f64,
    pub(super) starts: RateMeter,
    pub(super) finishes: RateMeter,
    pub(super) task_s: Option<f64>,
    pub(super) machine_share: Option<f64>,
    pub(super) last_decision: Option<autoscaler::ScalingDecision>,
}

/// Weight of the latest value in running averages.
const SMOOTHING: f64 = 0.1;

/// A single task's run time over its estimate counts within these bounds.
const RUNTIME_BIAS_RANGE: (f64, f64) = (0.2, 5.0);

fn average(known: Option<f64>, value: f64) -> Option<f64> {
    Some(known.map_or(value, |known| known + (value - known) * SMOOTHING))
}

/// State of renting and releasing.
#[derive(Debug)]
pub struct Fleet {
    epoch: u64,
    started_at: f64,
    requests_made: u64,
    provisioning: BTreeMap<String, ProvisioningRequest>,
    pub(super) pools: BTreeMap<PoolKey, Pool>,
    /// What tasks take over what their owners thought; on some days estimates are mostly too high
    /// or too low.
    pub(super) runtime_bias: f64,
    /// Machines whose deletion was confirmed, and when.
    deleted_at: HashMap<String, f64>,
    rate_limiter: TokenBucket,
    partial_listing: Vec<Instance>,
    list_in_flight: bool,
    next_list_at: f64,
    listed_at: Option<f64>,
    create_in_flight: bool,
    delete_in_flight: bool,
    next_delete_at: f64,
    next_scaling_at: f64,
    next_failure_check_at: f64,
    /// Zones that are taken to be partitioned, and when that was last so.
    pub(super) partitioned_zones: BTreeMap<String, f64>,
    /// Since when all zones have been silent at once.
    pub(super) all_partitioned_since: Option<f64>,
    pub(super) list_lag_s: f64,
    pub(super) heartbeat_interval_s: f64,
}

/// Share of the cloud's limit that the leader uses; the rest is for the instance catalog and for a leader
/// that has just been deposed.
const CLOUD_SHARE: f64 = 0.8;
/// Seconds' worth of the leader's share that may be used at once.
const CLOUD_BURST_S: f64 = 1.5;
/// Usual boot times within which most machines are up. Those that are not are no longer counted on.
pub(super) const BOOT_USUAL: f64 = 1.5;
/// Looks for machines to be released in a heartbeat interval.
const CHECKS_PER_HEARTBEAT: f64 = 8.0;
/// Rounds of the autoscaler in the time of the quickest boot.
const ROUNDS_PER_BOOT: f64 = 5.0;
/// Boots that take longer don't slow the rounds down.
const MAX_BOOT_TIME_S: f64 = 60.0;
/// Machines asked for at a time in one pool; what is there of them shows soon enough.
const MAX_INSTANCES_PER_ROUND: u32 = 8 * MAX_INSTANCES_PER_CREATE;
/// Longest time for which a refused pool is left alone, in boot times.
const MAX_BLOCK: f64 = 4.0;

impl Fleet {
    pub(super) fn new(settings: &Settings, epoch: u64, now: f64) -> Fleet {
        let cloud = &settings.deployment.cloud;
        Fleet {
            epoch,
            started_at: now,
            requests_made: 0,
            provisioning: BTreeMap::new(),
            pools: BTreeMap::new(),
            runtime_bias: 1.0,
            deleted_at: HashMap::new(),
            rate_limiter: TokenBucket::new(
                cloud.rps * CLOUD_SHARE,
                (cloud.rps * CLOUD_SHARE * CLOUD_BURST_S).max(1.0),
            ),
            partial_listing: Vec::new(),
            list_in_flight: false,
            next_list_at: 0.0,
            listed_at: None,
            create_in_flight: false,
            delete_in_flight: false,
            next_delete_at: 0.0,
            next_scaling_at: 0.0,
            next_failure_check_at: 0.0,
            partitioned_zones: BTreeMap::new(),
            all_partitioned_since: None,
            list_lag_s: cloud.list_lag_s,
            heartbeat_interval_s: settings.deployment.workers.heartbeat_interval_s,
        }
    }

    /// Whether the machine's deletion was confirmed.
    pub(super) fn is_deleted(&self, name: &str) -> bool {
        self.deleted_at.contains_key(name)
    }

    /// Takes over a provisioning request that an earlier leader wrote down.
    pub(super) fn inherit_provisioning(
        &mut self,
        idempotency_key: &str,
        record: ProvisioningRecord,
    ) {
        let renting = ProvisioningRequest {
            record,
            state: ProvisioningState::Ready(0.0),
            queue_position: (PriorityClass::Production, 0),
            sent: true,
        };
        self.provisioning
            .insert(idempotency_key.to_owned(), renting);
    }

    /// A provisioning request's record was written or removed.
    pub(super) fn on_record_written(&mut self, write: &WriteOp) {
        match write {
            WriteOp::Put { key, .. } => {
                if let Some(idempotency_key) = key.strip_prefix(records::PROVISIONING_PREFIX)
                    && let Some(request) = self.provisioning.get_mut(idempotency_key)
                {
                    request.state = ProvisioningState::Ready(0.0);
                }
            }
            WriteOp::Delete { key } => {
                if let Some(idempotency_key) = key.strip_prefix(records::PROVISIONING_PREFIX) {
                    self.provisioning.remove(idempotency_key);
                }
            }
        }
    }

    /// Whether a pool is known to be sold out.
    pub(super) fn is_blocked(&self, key: &PoolKey, now: f64) -> bool {
        let pool = self.pools.get(key);
        pool.is_some_and(|pool| now < pool.blocked_until)
    }

    /// Whether a zone is partitioned, or has just come back.
    pub(super) fn was_partitioned(&self, zone: &str) -> bool {
        self.partitioned_zones.contains_key(zone)
    }

    /// Whether a zone is partitioned now, as far as the last look told.
    pub(super) fn is_partitioned(&self, zone: &str, now: f64) -> bool {
        let cut = self.partitioned_zones.get(zone);
        cut.is_some_and(|at| now - at < self.heartbeat_interval_s / CHECKS_PER_HEARTBEAT * 2.0)
    }

    /// Whether any provisioning request is not settled.
    pub(super) fn is_provisioning(&self) -> bool {
        !self.provisioning.is_empty()
    }

    /// How many machines of a pool are worth asking for: a single call's after it could not give all
    /// that was asked for.
    pub(super) fn request_limit(&self, key: &PoolKey) -> u32 {
        match self.pools.get(key) {
            Some(pool) if pool.block_s > 0.0 => MAX_INSTANCES_PER_CREATE,
            _ => u32::MAX,
        }
    }

    /// Machines of a pool that are being rented and are not in the table yet.
    pub(super) fn instances_expected(&self, key: &PoolKey) -> u32 {
        self.provisioning
            .values()
            .filter(|request| request.pool() == *key)
            .map(ProvisioningRequest::instances_expected)
            .sum()
    }

    fn pool_of_worker(&mut self, worker: &Worker) -> &mut Pool {
        self.pools.entry(pool_key(worker)).or_default()
    }

    pub(super) fn record_start(&mut self, worker: &Worker, share: Option<f64>, now: f64) {
        let pool = self.pool_of_worker(worker);
        if let Some(share) = share {
            pool.starts.add(1.0, now);
            pool.machine_share = average(pool.machine_share, share.max(1e-3));
        }
    }

    pub(super) fn record_finish(
        &mut self,
        worker: &Worker,
        ran_s: f64,
        expected_runtime_s: f64,
        now: f64,
    ) {
        if expected_runtime_s > 0.0 {
            let (least, most) = RUNTIME_BIAS_RANGE;
            let bias = (ran_s / expected_runtime_s).clamp(least, most);
            self.runtime_bias += (bias - self.runtime_bias) * SMOOTHING / 10.0;
        }
        let pool = self.pool_of_worker(worker);
        pool.finishes.add(1.0, now);
        pool.task_s = average(pool.task_s, ran_s);
    }

    fn block(&mut self, key: &PoolKey, boot_time_s: f64, now: f64) {
        let pool = self.pools.entry(key.clone()).or_default();
        pool.block_s = (pool.block_s * 2.0).clamp(boot_time_s / 2.0, boot_time_s * MAX_BLOCK);
        pool.blocked_until = now + pool.block_s;
        // What it can't give is asked of others soon.
        self.next_scaling_at = self
            .next_scaling_at
            .min(now + self.heartbeat_interval_s / 5.0);
    }
}

fn pool_key(worker: &Worker) -> PoolKey {
    PoolKey {
        instance_type: worker.instance_type.clone(),
        zone: worker.zone.clone(),
        spot: worker.spot,
    }
}

pub(super) fn is_in(worker: &Worker, pool: &PoolKey) -> bool {
    worker.spot == pool.spot
        && worker.zone == pool.zone
        && worker.instance_type == pool.instance_type
}

impl Leader {
    /// Lists, scales, rents and deletes, as is due.
    pub(super) fn poll_fleet(&mut self, confirmed: bool, effects: &mut Effects, now: f64) {
        if !confirmed {
            return;
        }
        self.list_instances(effects, now);
        self.delete_instances(effects, now);
        let fleet = &self.fleet;
        // Nothing is rented before the list is known and a round of reports has come, unless no
        // machine was ever asked for.
        let informed = fleet.listed_at.is_some()
            && (self.is_first_leader || now - fleet.started_at > 1.5 * fleet.heartbeat_interval_s);
        if informed && now >= fleet.next_failure_check_at {
            self.fleet.next_failure_check_at =
                now + self.fleet.heartbeat_interval_s / CHECKS_PER_HEARTBEAT;
            self.remove_failed_workers(now);
        }
        if informed && now >= self.fleet.next_scaling_at {
            let boot_time_s = self
                .instance_types
                .iter()
                .map(|instance_type| instance_type.boot_time_s);
            let quickest_s = boot_time_s
                .fold(f64::INFINITY, f64::min)
                .min(MAX_BOOT_TIME_S);
            self.fleet.next_scaling_at = now + quickest_s / ROUNDS_PER_BOOT;
            self.run_autoscaler(now);
        }
        self.send_provisioning_requests(effects, now);
    }

    fn list_instances(&mut self, effects: &mut Effects, now: f64) {
        let fleet = &mut self.fleet;
        if fleet.list_in_flight || now < fleet.next_list_at || !fleet.rate_limiter.take(1.0, now) {
            return;
        }
        fleet.list_in_flight = true;
        let from = fleet
            .partial_listing
            .last()
            .map(|machine| machine.name.clone());
        let within_s = 2.0 * fleet.heartbeat_interval_s;
        effects.call_cloud(
            CloudRequestKind::ListInstances(fleet.epoch),
            CloudRequest::ListInstances(from),
            within_s,
        );
    }

    fn delete_instances(&mut self, effects: &mut Effects, now: f64) {
        if self.fleet.delete_in_flight || now < self.fleet.next_delete_at {
            return;
        }
        let names: Vec<String> = self
            .workers
            .iter()
            .filter(|worker| {
                permits::may_delete(worker).is_ok() && !self.fleet.is_deleted(&worker.name)
            })
            .map(|worker| worker.name.clone())
            .take(MAX_INSTANCES_PER_DELETE)
            .collect();
        if names.is_empty() || !self.fleet.rate_limiter.take(1.0, now) {
            return;
        }
        self.fleet.delete_in_flight = true;
        tracing::debug!(workers = ?names, "delete request sent");
        let kind = CloudRequestKind::DeleteInstances(self.epoch, names.clone());
        effects.call_cloud(
            kind,
            CloudRequest::DeleteInstances(names),
            2.0 * self.fleet.heartbeat_interval_s,
        );
    }

    fn send_provisioning_requests(&mut self, effects: &mut Effects, now: f64) {
        let fleet = &mut self.fleet;
        if fleet.create_in_flight {
            return;
        }
        let ready = fleet
            .provisioning
            .iter_mut()
            .filter(
                |(_, request)| matches!(request.state, ProvisioningState::Ready(at) if now >= at),
            )
            .min_by_key(|(_, request)| request.queue_position);
        let Some((idempotency_key, request)) = ready else {
            return;
        };
        let blocked = |pool: &Pool| now < pool.blocked_until;
        if !request.sent && fleet.pools.get(&request.pool()).is_some_and(blocked) {
            // The pool has turned out to be sold out; the next round asks elsewhere.
            request.state = ProvisioningState::Completing;
            self.commits.push(LogEntry::WriteKey {
                write: WriteOp::delete(records::provisioning_key(idempotency_key)),
            });
            return;
        }
        if !fleet.rate_limiter.take(1.0, now) {
            return;
        }
        tracing::debug!(idempotency_key, pool = %request.pool(), again = request.sent, "provisioning request sent");
        request.state = ProvisioningState::InFlight;
        request.sent = true;
        fleet.create_in_flight = true;
        let call = CloudRequest::CreateInstances(CreateInstances {
            idempotency_key: idempotency_key.clone(),
            instance_type: request.record.instance_type.clone(),
            zone: request.record.zone.clone(),
            spot: request.record.spot,
            count: request.record.count,
        });
        let kind = CloudRequestKind::CreateInstances(self.epoch, idempotency_key.clone());
        effects.call_cloud(kind, call, 2.0 * fleet.heartbeat_interval_s);
    }

    /// Takes a page of the cloud's list.
    pub fn on_instances_listed(&mut self, response: CloudResponse, now: f64) {
        self.fleet.list_in_flight = false;
        let CloudResponse::Page {
            instances: machines,
            more,
        } = response
        else {
            self.fleet.partial_listing.clear();
            self.fleet.next_list_at = now + self.fleet.heartbeat_interval_s;
            return;
        };
        let more = more && !machines.is_empty();
        self.fleet.partial_listing.extend(machines);
        if more {
            return;
        }
        let machines = std::mem::take(&mut self.fleet.partial_listing);
        self.fleet.next_list_at = now + self.fleet.list_lag_s;
        self.fleet.listed_at = Some(now);
        for machine in machines {
            self.observe_instance(&machine, now);
        }
        let forget_s = 60.0 * self.fleet.list_lag_s.max(self.fleet.heartbeat_interval_s);
        self.fleet.deleted_at.retain(|_, at| now - *at < forget_s);
        self.complete_provisioning();
    }

    fn observe_instance(&mut self, machine: &Instance, now: f64) {
        if self.fleet.is_deleted(&machine.name) {
            return;
        }
        let lease_from = self.leases.previous_leader_deadline();
        let worker = self.workers.entry(&machine.name, || {
            let mut worker = Worker::new(
                &machine.name,
                &machine.instance_type,
                &machine.zone,
                machine.spot,
                now - machine.age_s,
            );
            worker.lease_renewed_at = lease_from;
            worker
        });
        if worker.endpoint.is_empty() {
            worker.endpoint.clone_from(&machine.endpoint);
        }
        worker.last_listed_at = Some(now);
        match machine.status {
            InstanceStatus::Running if !worker.listed_running => {
                worker.listed_running = true;
                self.dispatcher.mark_due(&machine.name);
            }
            InstanceStatus::Failed if !worker.terminating => {
                self.scale_in(&machine.name, ScaleInReason::Failed);
            }
            _ => {}
        }
    }

    /// Removes the records of provisioning requests whose machines have all been seen.
    fn complete_provisioning(&mut self) {
        for (idempotency_key, request) in &mut self.fleet.provisioning {
            let ProvisioningState::Created(names) = &request.state else {
                continue;
            };
            let seen = names.iter().all(|name| {
                self.workers.get(name).is_none_or(|worker| {
                    worker.last_listed_at.is_some() || worker.last_heartbeat_at.is_some()
                })
            });
            if seen {
                request.state = ProvisioningState::Completing;
                self.commits.push(LogEntry::WriteKey {
                    write: WriteOp::delete(records::provisioning_key(idempotency_key)),
                });
            }
        }
    }

    /// Takes what came of a provisioning request.
    pub fn on_instances_created(
        &mut self,
        idempotency_key: &str,
        response: CloudResponse,
        now: f64,
    ) {
        self.fleet.create_in_flight = false;
        let Some(request) = self.fleet.provisioning.get_mut(idempotency_key) else {
            return;
        };
        let key = request.pool();
        let wanted = request.record.count;
        let boot_time_s = self
            .instance_types
            .iter()
            .find(|f| f.name == key.instance_type)
            .map_or(self.fleet.heartbeat_interval_s, |f| f.boot_time_s);
        match response {
            CloudResponse::Created(names) => {
                tracing::info!(idempotency_key, pool = %key, wanted, got = names.len(), "instances created");
                if names.len() < wanted as usize {
                    self.fleet.block(&key, boot_time_s, now);
                } else if let Some(pool) = self.fleet.pools.get_mut(&key) {
                    pool.block_s = 0.0;
                }
                for name in &names {
                    if !self.fleet.is_deleted(name) {
                        self.workers.entry(name, || {
                            Worker::new(name, &key.instance_type, &key.zone, key.spot, now)
                        });
                    }
                }
                if let Some(request) = self.fleet.provisioning.get_mut(idempotency_key) {
                    request.state = ProvisioningState::Created(names);
                }
                self.complete_provisioning();
            }
            CloudResponse::InsufficientCapacity | CloudResponse::InvalidRequest => {
                tracing::info!(idempotency_key, pool = %key, wanted, "provisioning request rejected");
                request.state = ProvisioningState::Completing;
                self.fleet.block(&key, boot_time_s, now);
                self.commits.push(LogEntry::WriteKey {
                    write: WriteOp::delete(records::provisioning_key(idempotency_key)),
                });
            }
            // It may have been carried out: the same name is asked again until there is an answer.
            _ => request.state = ProvisioningState::Ready(now + self.fleet.heartbeat_interval_s),
        }
    }

    /// Takes what came of a deletion.
    pub fn on_instances_deleted(&mut self, names: &[String], response: &CloudResponse, now: f64) {
        self.fleet.delete_in_flight = false;
        if !matches!(response, CloudResponse::Deleted) {
            self.fleet.next_delete_at = now + self.fleet.heartbeat_interval_s;
            return;
        }
        for name in names {
            self.fleet.deleted_at.insert(name.clone(), now);
            if self.workers.get(name).is_none() {
                continue;
            }
            self.drop_all_bindings(name, now);
            tracing::info!(worker = name, "instance deleted");
            self.commits.push(LogEntry::RemoveWorker {
                worker: name.clone(),
            });
        }
    }

    /// Marks a worker as returning; it is deleted once the mark is written.
    pub(super) fn scale_in(&mut self, name: &str, reason: ScaleInReason) {
        if let Some(worker) = self.workers.get_mut(name)
            && !worker.terminating
        {
            tracing::info!(worker = name, ?reason, "scale-in");
            worker.terminating = true;
            self.commits.push(LogEntry::RecordTermination {
                worker: name.to_owned(),
            });
        }
    }

    pub(super) fn scale_out(&mut self, key: &PoolKey, priority: Option<PriorityClass>, count: u32) {
        let mut left = count.min(MAX_INSTANCES_PER_ROUND);
        while left > 0 {
            self.fleet.requests_made += 1;
            let idempotency_key = format!("r-{}-{}", self.epoch, self.fleet.requests_made);
            let record = ProvisioningRecord {
                instance_type: key.instance_type.clone(),
                zone: key.zone.clone(),
                spot: key.spot,
                count: left.min(MAX_INSTANCES_PER_CREATE),
            };
            left -= record.count;
            self.commits.push(LogEntry::WriteKey {
                write: WriteOp::put(records::provisioning_key(&idempotency_key), &record),
            });
            let renting = ProvisioningRequest {
                record,
                state: ProvisioningState::Recording,
                queue_position: (
                    priority.unwrap_or(PriorityClass::BestEffort),
                    self.fleet.requests_made,
                ),
                sent: false,
            };
            self.fleet.provisioning.insert(idempotency_key, renting);
        }
    }
}
