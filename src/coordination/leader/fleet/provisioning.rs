//! Scale-out: records provisioning requests, sends them to the cloud, and adds the created instances as workers.
//!
//! A request is recorded in the state service before it is sent, under an idempotency key, so that a
//! later leader can send it again and learn which instances were created.

use super::{Fleet, PoolKey};
use crate::bookkeeping::records::{self, ProvisioningRecord};
use crate::bookkeeping::wal::LogEntry;
use crate::bookkeeping::workers::Worker;
use crate::coordination::effects::{CloudRequestContext, Effects};
use crate::coordination::leader::Leader;
use crate::protocol::cloud::{
    CloudRequest, CloudResponse, CreateInstances, MAX_INSTANCES_PER_CREATE,
};
use crate::protocol::job::PriorityClass;
use crate::protocol::kv::WriteOp;
use std::collections::BTreeMap;

/// Maximum number of instances that are requested from one pool in a round. The next round knows how many of
/// them the cloud could create.
const MAX_INSTANCES_PER_ROUND: u32 = 8 * MAX_INSTANCES_PER_CREATE;

/// The state of a provisioning request.
#[derive(Debug, Clone, PartialEq)]
enum ProvisioningState {
    /// The record of the request is being committed to the state service.
    Recording,
    /// The request is to be sent, or sent again, from `not_before` on.
    Ready { not_before: f64 },
    /// The request was sent, and the response has not arrived yet.
    InFlight,
    /// These instances were created. At least one of them has neither been listed nor sent a heartbeat yet.
    Created { instances: Vec<String> },
    /// The record of the request is being removed from the state service.
    Completing,
}

/// Orders the requests that are ready to be sent: by priority, then by age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SendOrder {
    /// Highest priority of the tasks that the request is for.
    priority: PriorityClass,
    /// Number of the request within the epoch; 0 for requests of earlier leaders.
    sequence: u64,
}

#[derive(Debug, Clone)]
struct ProvisioningRequest {
    record: ProvisioningRecord,
    state: ProvisioningState,
    order: SendOrder,
    /// The request was sent at least once, and may have reached the cloud.
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

    fn is_ready(&self, now: f64) -> bool {
        matches!(self.state, ProvisioningState::Ready { not_before } if now >= not_before)
    }

    /// Returns the number of instances that the request may create and that are not known as workers yet.
    fn instances_expected(&self) -> u32 {
        match self.state {
            ProvisioningState::Created { .. } | ProvisioningState::Completing => 0,
            _ => self.record.count,
        }
    }
}

/// The provisioning requests that are not complete, by idempotency key.
#[derive(Debug, Default)]
pub(super) struct Provisioning {
    requests: BTreeMap<String, ProvisioningRequest>,
    /// Number of requests made in this epoch.
    requests_made: u64,
    create_in_flight: bool,
}

impl Fleet {
    /// Adds a provisioning request that an earlier leader has recorded and may have sent; it is sent again.
    pub(in crate::coordination::leader) fn inherit_provisioning(
        &mut self,
        idempotency_key: &str,
        record: ProvisioningRecord,
    ) {
        let request = ProvisioningRequest {
            record,
            state: ProvisioningState::Ready { not_before: 0.0 },
            order: SendOrder {
                priority: PriorityClass::Production,
                sequence: 0,
            },
            sent: true,
        };
        let requests = &mut self.provisioning.requests;
        requests.insert(idempotency_key.to_owned(), request);
    }

    /// Handles the commit of a write to a key. If the key is the record of a provisioning request, the request may
    /// be sent once the record is written, and is complete once it is removed.
    pub(in crate::coordination::leader) fn on_record_written(&mut self, write: &WriteOp) {
        let requests = &mut self.provisioning.requests;
        match write {
            WriteOp::Put { key, .. } => {
                if let Some(idempotency_key) = key.strip_prefix(records::PROVISIONING_PREFIX)
                    && let Some(request) = requests.get_mut(idempotency_key)
                {
                    request.state = ProvisioningState::Ready { not_before: 0.0 };
                }
            }
            WriteOp::Delete { key } => {
                if let Some(idempotency_key) = key.strip_prefix(records::PROVISIONING_PREFIX) {
                    requests.remove(idempotency_key);
                }
            }
        }
    }

    /// Whether any provisioning request is not complete.
    pub(in crate::coordination::leader) fn is_provisioning(&self) -> bool {
        !self.provisioning.requests.is_empty()
    }

    /// Returns the number of instances of a pool that are being provisioned and are not known as workers yet.
    pub(in crate::coordination::leader) fn instances_expected(&self, key: &PoolKey) -> u32 {
        self.provisioning
            .requests
            .values()
            .filter(|request| request.pool() == *key)
            .map(ProvisioningRequest::instances_expected)
            .sum()
    }
}

/// Returns the log entry that removes the record of a request.
fn remove_record(idempotency_key: &str) -> LogEntry {
    LogEntry::WriteKey {
        write: WriteOp::delete(records::provisioning_key(idempotency_key)),
    }
}

impl Leader {
    /// Records requests for `count` more instances of a pool, but for at most [`MAX_INSTANCES_PER_ROUND`]. `priority`
    /// is the highest priority of the tasks that need them.
    pub(in crate::coordination::leader) fn scale_out(
        &mut self,
        key: &PoolKey,
        priority: Option<PriorityClass>,
        count: u32,
    ) {
        let mut remaining = count.min(MAX_INSTANCES_PER_ROUND);
        while remaining > 0 {
            let provisioning = &mut self.fleet.provisioning;
            provisioning.requests_made += 1;
            let sequence = provisioning.requests_made;
            let idempotency_key = format!("r-{}-{sequence}", self.epoch);
            let record = ProvisioningRecord {
                instance_type: key.instance_type.clone(),
                zone: key.zone.clone(),
                spot: key.spot,
                count: remaining.min(MAX_INSTANCES_PER_CREATE),
            };
            remaining -= record.count;
            self.commits.push(LogEntry::WriteKey {
                write: WriteOp::put(records::provisioning_key(&idempotency_key), &record),
            });
            let request = ProvisioningRequest {
                record,
                state: ProvisioningState::Recording,
                order: SendOrder {
                    priority: priority.unwrap_or(PriorityClass::BestEffort),
                    sequence,
                },
                sent: false,
            };
            provisioning.requests.insert(idempotency_key, request);
        }
    }

    /// Sends the next provisioning request, if one is ready and no other is in flight. A request that was never sent
    /// and whose pool is blocked is dropped instead.
    pub(super) fn send_provisioning_request(&mut self, effects: &mut Effects, now: f64) {
        let fleet = &mut self.fleet;
        let timeout_s = fleet.call_timeout_s();
        if fleet.provisioning.create_in_flight {
            return;
        }
        let ready = fleet
            .provisioning
            .requests
            .iter_mut()
            .filter(|(_, request)| request.is_ready(now))
            .min_by_key(|(_, request)| request.order);
        let Some((idempotency_key, request)) = ready else {
            return;
        };
        let pool = request.pool();
        let blocked = fleet.pools.get(&pool).is_some_and(|p| p.is_blocked(now));
        if blocked && !request.sent {
            // The cloud has lacked capacity for this pool since the request was made; the next round of the
            // autoscaler requests instances from other pools.
            request.state = ProvisioningState::Completing;
            self.commits.push(remove_record(idempotency_key));
            return;
        }
        if !fleet.rate_limiter.take(1.0, now) {
            return;
        }
        tracing::debug!(idempotency_key, %pool, again = request.sent, "provisioning request sent");
        request.state = ProvisioningState::InFlight;
        request.sent = true;
        fleet.provisioning.create_in_flight = true;
        let call = CreateInstances {
            idempotency_key: idempotency_key.clone(),
            instance_type: pool.instance_type,
            zone: pool.zone,
            spot: pool.spot,
            count: request.record.count,
        };
        effects.call_cloud(
            CloudRequestContext::CreateInstances(self.epoch, idempotency_key.clone()),
            CloudRequest::CreateInstances(call),
            timeout_s,
        );
    }

    /// Handles the response to a provisioning request.
    pub fn on_instances_created(
        &mut self,
        idempotency_key: &str,
        response: CloudResponse,
        now: f64,
    ) {
        let provisioning = &mut self.fleet.provisioning;
        provisioning.create_in_flight = false;
        let Some(request) = provisioning.requests.get_mut(idempotency_key) else {
            return;
        };
        let pool = request.pool();
        let wanted = request.record.count;
        match response {
            CloudResponse::Created(instances) => {
                tracing::info!(idempotency_key, %pool, wanted, got = instances.len(), "instances created");
                request.state = ProvisioningState::Created {
                    instances: instances.clone(),
                };
                self.record_created(&pool, wanted, &instances, now);
            }
            CloudResponse::InsufficientCapacity | CloudResponse::InvalidRequest => {
                tracing::info!(idempotency_key, %pool, wanted, "provisioning request rejected");
                request.state = ProvisioningState::Completing;
                self.block_pool(&pool, now);
                self.commits.push(remove_record(idempotency_key));
            }
            // The cloud may have executed the request. It is sent again under the same idempotency key until
            // there is a definite response.
            _ => {
                request.state = ProvisioningState::Ready {
                    not_before: now + self.fleet.heartbeat_interval_s,
                };
            }
        }
    }

    /// Adds the workers of created instances. Blocks the pool if fewer instances were created than requested, and
    /// resets its back-off otherwise.
    fn record_created(&mut self, pool: &PoolKey, wanted: u32, instances: &[String], now: f64) {
        if instances.len() < wanted as usize {
            self.block_pool(pool, now);
        } else if let Some(pool) = self.fleet.pools.get_mut(pool) {
            pool.unblock();
        }
        for name in instances {
            if !self.fleet.is_deleted(name) {
                self.workers.get_or_insert_with(name, || {
                    Worker::new(name, &pool.instance_type, &pool.zone, pool.spot, now)
                });
            }
        }
        self.complete_provisioning();
    }

    fn block_pool(&mut self, pool: &PoolKey, now: f64) {
        let boot_time_s = self.usual_boot_time_s(&pool.instance_type);
        self.fleet.block(pool, boot_time_s, now);
    }

    /// Removes the records of provisioning requests whose instances have each been listed, sent a heartbeat, or been
    /// deleted.
    pub(super) fn complete_provisioning(&mut self) {
        for (idempotency_key, request) in &mut self.fleet.provisioning.requests {
            let ProvisioningState::Created { instances } = &request.state else {
                continue;
            };
            let all_seen = instances.iter().all(|name| {
                self.workers.get(name).is_none_or(|worker| {
                    worker.last_listed_at.is_some() || worker.last_heartbeat_at.is_some()
                })
            });
            if all_seen {
                request.state = ProvisioningState::Completing;
                self.commits.push(remove_record(idempotency_key));
            }
        }
    }
}
