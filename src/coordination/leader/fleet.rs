//! The fleet: what is rented, what is given back, and the cloud's list.

use super::Leader;
use crate::bookkeeping::permits;
use crate::bookkeeping::rate_limit::TokenBucket;
use crate::bookkeeping::records::{self, ProvisioningRecord};
use crate::bookkeeping::workers::Worker;
use crate::bookkeeping::write_ahead_log::LogEntry;
use crate::coordination::autoscaler::{self, Meter};
use crate::coordination::outbox::{CloudAsk, Outbox};
use crate::protocol::cloud::{
    CloudRequest, CloudResponse, CreateInstances, Instance, InstanceStatus,
    MAX_INSTANCES_PER_CREATE, MAX_INSTANCES_PER_DELETE,
};
use crate::protocol::job::PriorityClass;
use crate::protocol::kv::WriteOp;
use crate::settings::Settings;
use std::collections::{BTreeMap, HashMap};

/// Why a machine is given back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GiveBackReason {
    /// The cloud takes it.
    TakenByCloud,
    /// It has not come up in time.
    NeverUp,
    /// It has missed its reports, and left direct calls unanswered.
    Silent,
    /// Its reports arrive, but no answer or command reaches it.
    Unreached,
    /// Tasks of several jobs fail on it that succeed elsewhere.
    FailsTasks,
    /// The cloud lists it no longer.
    NotListed,
    /// The cloud lists it as failed.
    Failed,
    /// Nothing is bound to it, and it is not needed.
    Idle,
    /// Its fence can't be raised any further.
    FenceUsedUp,
}

/// A pool of machines: type, zone, and whether spot.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolKey {
    /// Machine type.
    pub flavor: String,
    /// Zone.
    pub zone: String,
    /// Spot machines.
    pub spot: bool,
}

impl std::fmt::Display for PoolKey {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let kind = if self.spot { "spot" } else { "ordinary" };
        write!(f, "{}/{}/{kind}", self.flavor, self.zone)
    }
}

/// How far a rental has come.
#[derive(Debug, Clone, PartialEq)]
enum Stage {
    /// Its record is being written.
    Writing,
    /// To be sent, or sent again, from this time on.
    Ready(f64),
    /// On its way.
    Calling,
    /// These machines were rented; they are not all seen yet.
    Rented(Vec<String>),
    /// Its record is being removed.
    Settling,
}

#[derive(Debug, Clone)]
struct Renting {
    record: ProvisioningRecord,
    stage: Stage,
    /// The most urgent work that it is for, and the order within that.
    turn: (PriorityClass, u64),
    /// It may have reached the cloud.
    sent: bool,
}

impl Renting {
    fn pool(&self) -> PoolKey {
        PoolKey {
            flavor: self.record.instance_type.clone(),
            zone: self.record.zone.clone(),
            spot: self.record.spot,
        }
    }
    /// Machines that may come of it and are not in the table yet.
    fn expected(&self) -> u32 {
        match self.stage {
            Stage::Rented(_) | Stage::Settling => 0,
            _ => self.record.count,
        }
    }
}

#[derive(Debug, Default)]
pub(super) struct Pool {
    blocked_until: f64,
    block_s: f64,
    pub(super) starts: Meter,
    pub(super) finishes: Meter,
    pub(super) task_s: Option<f64>,
    pub(super) share: Option<f64>,
    pub(super) decided: Option<autoscaler::Decision>,
}

/// Weight of the latest value in running averages.
const LATEST: f64 = 0.1;

/// A single task's run time over its estimate counts within these bounds.
const BIAS_RANGE: (f64, f64) = (0.2, 5.0);

fn average(known: Option<f64>, value: f64) -> Option<f64> {
    Some(known.map_or(value, |known| known + (value - known) * LATEST))
}

/// State of renting and giving back.
#[derive(Debug)]
pub struct Fleet {
    epoch: u64,
    since: f64,
    bids: u64,
    rentals: BTreeMap<String, Renting>,
    pub(super) pools: BTreeMap<PoolKey, Pool>,
    /// What tasks take over what their owners thought; on some days estimates are mostly too high
    /// or too low.
    pub(super) bias: f64,
    /// Machines whose deletion was confirmed, and when.
    gone: HashMap<String, f64>,
    calls: TokenBucket,
    listing: Vec<Instance>,
    list_busy: bool,
    list_at: f64,
    listed: Option<f64>,
    rent_busy: bool,
    delete_busy: bool,
    delete_at: f64,
    scale_at: f64,
    retire_at: f64,
    /// Zones that are taken to be cut off, and when that was last so.
    pub(super) cut_zones: BTreeMap<String, f64>,
    /// Since when all zones have been silent at once.
    pub(super) all_cut_since: Option<f64>,
    pub(super) list_lag_s: f64,
    pub(super) report_s: f64,
}

/// Share of the cloud's limit that the leader uses; the rest is for the catalogue and for a leader
/// that has just been deposed.
const CLOUD_SHARE: f64 = 0.8;
/// Seconds' worth of the leader's share that may be used at once.
const CLOUD_BURST_S: f64 = 1.5;
/// Usual boot times within which most machines are up. Those that are not are no longer counted on.
pub(super) const BOOT_USUAL: f64 = 1.5;
/// Looks for machines to be given back in a report interval.
const LOOKS_PER_REPORT: f64 = 8.0;
/// Rounds of the autoscaler in the time of the quickest boot.
const ROUNDS_PER_BOOT: f64 = 5.0;
/// Boots that take longer don't slow the rounds down.
const MAX_READY_S: f64 = 60.0;
/// Machines asked for at a time in one pool; what is there of them shows soon enough.
const MAX_RENTED: u32 = 8 * MAX_INSTANCES_PER_CREATE;
/// Longest time for which a refused pool is left alone, in boot times.
const MAX_BLOCK: f64 = 4.0;

impl Fleet {
    pub(super) fn new(settings: &Settings, epoch: u64, now: f64) -> Fleet {
        let cloud = &settings.deployment.cloud;
        Fleet {
            epoch,
            since: now,
            bids: 0,
            rentals: BTreeMap::new(),
            pools: BTreeMap::new(),
            bias: 1.0,
            gone: HashMap::new(),
            calls: TokenBucket::new(
                cloud.rps * CLOUD_SHARE,
                (cloud.rps * CLOUD_SHARE * CLOUD_BURST_S).max(1.0),
            ),
            listing: Vec::new(),
            list_busy: false,
            list_at: 0.0,
            listed: None,
            rent_busy: false,
            delete_busy: false,
            delete_at: 0.0,
            scale_at: 0.0,
            retire_at: 0.0,
            cut_zones: BTreeMap::new(),
            all_cut_since: None,
            list_lag_s: cloud.list_lag_s,
            report_s: settings.deployment.workers.report_s,
        }
    }

    /// Whether the machine's deletion was confirmed.
    pub(super) fn is_gone(&self, name: &str) -> bool {
        self.gone.contains_key(name)
    }

    /// Takes over a rental that an earlier leader wrote down.
    pub(super) fn inherit_rental(&mut self, bid: &str, record: ProvisioningRecord) {
        let renting = Renting {
            record,
            stage: Stage::Ready(0.0),
            turn: (PriorityClass::Production, 0),
            sent: true,
        };
        self.rentals.insert(bid.to_owned(), renting);
    }

    /// A rental's record was written or removed.
    pub(super) fn written(&mut self, write: &WriteOp) {
        match write {
            WriteOp::Put { key, .. } => {
                if let Some(bid) = key.strip_prefix(records::PROVISIONING_PREFIX)
                    && let Some(rental) = self.rentals.get_mut(bid)
                {
                    rental.stage = Stage::Ready(0.0);
                }
            }
            WriteOp::Delete { key } => {
                if let Some(bid) = key.strip_prefix(records::PROVISIONING_PREFIX) {
                    self.rentals.remove(bid);
                }
            }
        }
    }

    /// Whether a pool is known to be sold out.
    pub(super) fn is_blocked(&self, key: &PoolKey, now: f64) -> bool {
        let pool = self.pools.get(key);
        pool.is_some_and(|pool| now < pool.blocked_until)
    }

    /// Whether a zone is cut off, or has just come back.
    pub(super) fn was_cut(&self, zone: &str) -> bool {
        self.cut_zones.contains_key(zone)
    }

    /// Whether a zone is cut off now, as far as the last look told.
    pub(super) fn is_cut(&self, zone: &str, now: f64) -> bool {
        let cut = self.cut_zones.get(zone);
        cut.is_some_and(|at| now - at < self.report_s / LOOKS_PER_REPORT * 2.0)
    }

    /// Whether any rental is not settled.
    pub(super) fn is_renting(&self) -> bool {
        !self.rentals.is_empty()
    }

    /// How many machines of a pool are worth asking for: a single call's after it could not give all
    /// that was asked for.
    pub(super) fn worth_asking(&self, key: &PoolKey) -> u32 {
        match self.pools.get(key) {
            Some(pool) if pool.block_s > 0.0 => MAX_INSTANCES_PER_CREATE,
            _ => u32::MAX,
        }
    }

    /// Machines of a pool that are being rented and are not in the table yet.
    pub(super) fn renting(&self, key: &PoolKey) -> u32 {
        self.rentals
            .values()
            .filter(|rental| rental.pool() == *key)
            .map(Renting::expected)
            .sum()
    }

    fn pool_of(&mut self, host: &Worker) -> &mut Pool {
        self.pools.entry(key_of(host)).or_default()
    }

    pub(super) fn note_start(&mut self, host: &Worker, share: Option<f64>, now: f64) {
        let pool = self.pool_of(host);
        if let Some(share) = share {
            pool.starts.add(1.0, now);
            pool.share = average(pool.share, share.max(1e-3));
        }
    }

    pub(super) fn note_finish(&mut self, host: &Worker, ran_s: f64, expect_s: f64, now: f64) {
        if expect_s > 0.0 {
            let (least, most) = BIAS_RANGE;
            let bias = (ran_s / expect_s).clamp(least, most);
            self.bias += (bias - self.bias) * LATEST / 10.0;
        }
        let pool = self.pool_of(host);
        pool.finishes.add(1.0, now);
        pool.task_s = average(pool.task_s, ran_s);
    }

    fn block(&mut self, key: &PoolKey, ready_s: f64, now: f64) {
        let pool = self.pools.entry(key.clone()).or_default();
        pool.block_s = (pool.block_s * 2.0).clamp(ready_s / 2.0, ready_s * MAX_BLOCK);
        pool.blocked_until = now + pool.block_s;
        // What it can't give is asked of others soon.
        self.scale_at = self.scale_at.min(now + self.report_s / 5.0);
    }
}

fn key_of(host: &Worker) -> PoolKey {
    PoolKey {
        flavor: host.instance_type.clone(),
        zone: host.zone.clone(),
        spot: host.spot,
    }
}

pub(super) fn is_in(host: &Worker, pool: &PoolKey) -> bool {
    host.spot == pool.spot && host.zone == pool.zone && host.instance_type == pool.flavor
}

impl Leader {
    /// Lists, scales, rents and deletes, as is due.
    pub(super) fn drive_fleet(&mut self, confirmed: bool, out: &mut Outbox, now: f64) {
        if !confirmed {
            return;
        }
        self.drive_list(out, now);
        self.drive_deletes(out, now);
        let fleet = &self.fleet;
        // Nothing is rented before the list is known and a round of reports has come, unless no
        // machine was ever asked for.
        let informed =
            fleet.listed.is_some() && (self.first || now - fleet.since > 1.5 * fleet.report_s);
        if informed && now >= fleet.retire_at {
            self.fleet.retire_at = now + self.fleet.report_s / LOOKS_PER_REPORT;
            self.retire(now);
        }
        if informed && now >= self.fleet.scale_at {
            let ready_s = self.flavors.iter().map(|flavor| flavor.boot_time_s);
            let quickest_s = ready_s.fold(f64::INFINITY, f64::min).min(MAX_READY_S);
            self.fleet.scale_at = now + quickest_s / ROUNDS_PER_BOOT;
            self.scale(now);
        }
        self.drive_rentals(out, now);
    }

    fn drive_list(&mut self, out: &mut Outbox, now: f64) {
        let fleet = &mut self.fleet;
        if fleet.list_busy || now < fleet.list_at || !fleet.calls.take(1.0, now) {
            return;
        }
        fleet.list_busy = true;
        let from = fleet.listing.last().map(|machine| machine.name.clone());
        let within_s = 2.0 * fleet.report_s;
        out.cloud(
            CloudAsk::List(fleet.epoch),
            CloudRequest::ListInstances(from),
            within_s,
        );
    }

    fn drive_deletes(&mut self, out: &mut Outbox, now: f64) {
        if self.fleet.delete_busy || now < self.fleet.delete_at {
            return;
        }
        let names: Vec<String> = self
            .hosts
            .iter()
            .filter(|host| permits::may_delete(host).is_ok() && !self.fleet.is_gone(&host.name))
            .map(|host| host.name.clone())
            .take(MAX_INSTANCES_PER_DELETE)
            .collect();
        if names.is_empty() || !self.fleet.calls.take(1.0, now) {
            return;
        }
        self.fleet.delete_busy = true;
        tracing::debug!(hosts = ?names, "deletion sent");
        let ask = CloudAsk::Delete(self.epoch, names.clone());
        out.cloud(
            ask,
            CloudRequest::DeleteInstances(names),
            2.0 * self.fleet.report_s,
        );
    }

    fn drive_rentals(&mut self, out: &mut Outbox, now: f64) {
        let fleet = &mut self.fleet;
        if fleet.rent_busy {
            return;
        }
        let ready = fleet
            .rentals
            .iter_mut()
            .filter(|(_, rental)| matches!(rental.stage, Stage::Ready(at) if now >= at))
            .min_by_key(|(_, rental)| rental.turn);
        let Some((bid, rental)) = ready else { return };
        let blocked = |pool: &Pool| now < pool.blocked_until;
        if !rental.sent && fleet.pools.get(&rental.pool()).is_some_and(blocked) {
            // The pool has turned out to be sold out; the next round asks elsewhere.
            rental.stage = Stage::Settling;
            self.ledger.push(LogEntry::WriteKey {
                write: WriteOp::delete(records::provisioning_key(bid)),
            });
            return;
        }
        if !fleet.calls.take(1.0, now) {
            return;
        }
        tracing::debug!(bid, pool = %rental.pool(), again = rental.sent, "rental sent");
        rental.stage = Stage::Calling;
        rental.sent = true;
        fleet.rent_busy = true;
        let call = CloudRequest::CreateInstances(CreateInstances {
            idempotency_key: bid.clone(),
            instance_type: rental.record.instance_type.clone(),
            zone: rental.record.zone.clone(),
            spot: rental.record.spot,
            count: rental.record.count,
        });
        let ask = CloudAsk::Rent(self.epoch, bid.clone());
        out.cloud(ask, call, 2.0 * fleet.report_s);
    }

    /// Takes a page of the cloud's list.
    pub fn listed(&mut self, reply: CloudResponse, now: f64) {
        self.fleet.list_busy = false;
        let CloudResponse::Page(machines, more) = reply else {
            self.fleet.listing.clear();
            self.fleet.list_at = now + self.fleet.report_s;
            return;
        };
        let more = more && !machines.is_empty();
        self.fleet.listing.extend(machines);
        if more {
            return;
        }
        let machines = std::mem::take(&mut self.fleet.listing);
        self.fleet.list_at = now + self.fleet.list_lag_s;
        self.fleet.listed = Some(now);
        for machine in machines {
            self.take_listed(&machine, now);
        }
        let forget_s = 60.0 * self.fleet.list_lag_s.max(self.fleet.report_s);
        self.fleet.gone.retain(|_, at| now - *at < forget_s);
        self.settle_rentals();
    }

    fn take_listed(&mut self, machine: &Instance, now: f64) {
        if self.fleet.is_gone(&machine.name) {
            return;
        }
        let lease_from = self.others_until;
        let host = self.hosts.entry(&machine.name, || {
            let mut host = Worker::new(
                &machine.name,
                &machine.instance_type,
                &machine.zone,
                machine.spot,
                now - machine.age_s,
            );
            host.lease_renewed_at = lease_from;
            host
        });
        if host.endpoint.is_empty() {
            host.endpoint.clone_from(&machine.endpoint);
        }
        host.last_listed_at = Some(now);
        match machine.status {
            InstanceStatus::Running if !host.listed_running => {
                host.listed_running = true;
                self.push_due.insert(machine.name.clone());
            }
            InstanceStatus::Failed if !host.terminating => {
                self.give_back(&machine.name, GiveBackReason::Failed);
            }
            _ => {}
        }
    }

    /// Removes the records of rentals whose machines have all been seen.
    fn settle_rentals(&mut self) {
        for (bid, rental) in &mut self.fleet.rentals {
            let Stage::Rented(names) = &rental.stage else {
                continue;
            };
            let seen = names.iter().all(|name| {
                self.hosts
                    .get(name)
                    .is_none_or(|host| host.last_listed_at.is_some() || host.last_heartbeat_at.is_some())
            });
            if seen {
                rental.stage = Stage::Settling;
                self.ledger.push(LogEntry::WriteKey {
                    write: WriteOp::delete(records::provisioning_key(bid)),
                });
            }
        }
    }

    /// Takes what came of a rental.
    pub fn rented(&mut self, bid: &str, reply: CloudResponse, now: f64) {
        self.fleet.rent_busy = false;
        let Some(rental) = self.fleet.rentals.get_mut(bid) else {
            return;
        };
        let key = rental.pool();
        let wanted = rental.record.count;
        let ready_s = self
            .flavors
            .iter()
            .find(|f| f.name == key.flavor)
            .map_or(self.fleet.report_s, |f| f.boot_time_s);
        match reply {
            CloudResponse::Created(names) => {
                tracing::info!(bid, pool = %key, wanted, got = names.len(), "rented");
                if names.len() < wanted as usize {
                    self.fleet.block(&key, ready_s, now);
                } else if let Some(pool) = self.fleet.pools.get_mut(&key) {
                    pool.block_s = 0.0;
                }
                for name in &names {
                    if !self.fleet.is_gone(name) {
                        self.hosts.entry(name, || {
                            Worker::new(name, &key.flavor, &key.zone, key.spot, now)
                        });
                    }
                }
                if let Some(rental) = self.fleet.rentals.get_mut(bid) {
                    rental.stage = Stage::Rented(names);
                }
                self.settle_rentals();
            }
            CloudResponse::InsufficientCapacity | CloudResponse::InvalidRequest => {
                tracing::info!(bid, pool = %key, wanted, "rental refused");
                rental.stage = Stage::Settling;
                self.fleet.block(&key, ready_s, now);
                self.ledger.push(LogEntry::WriteKey {
                    write: WriteOp::delete(records::provisioning_key(bid)),
                });
            }
            // It may have been carried out: the same name is asked again until there is an answer.
            _ => rental.stage = Stage::Ready(now + self.fleet.report_s),
        }
    }

    /// Takes what came of a deletion.
    pub fn deleted(&mut self, names: &[String], reply: &CloudResponse, now: f64) {
        self.fleet.delete_busy = false;
        if !matches!(reply, CloudResponse::Deleted) {
            self.fleet.delete_at = now + self.fleet.report_s;
            return;
        }
        for name in names {
            self.fleet.gone.insert(name.clone(), now);
            if self.hosts.get(name).is_none() {
                continue;
            }
            self.drop_all_bindings(name, now);
            tracing::info!(host = name, "machine deleted");
            self.ledger.push(LogEntry::RemoveWorker { worker: name.clone() });
        }
    }

    /// Marks a host as returning; it is deleted once the mark is written.
    pub(super) fn give_back(&mut self, name: &str, reason: GiveBackReason) {
        if let Some(host) = self.hosts.get_mut(name)
            && !host.terminating
        {
            tracing::info!(host = name, ?reason, "giving back a machine");
            host.terminating = true;
            self.ledger.push(LogEntry::RecordTermination {
                worker: name.to_owned(),
            });
        }
    }

    pub(super) fn rent(&mut self, key: &PoolKey, rank: Option<PriorityClass>, count: u32) {
        let mut left = count.min(MAX_RENTED);
        while left > 0 {
            self.fleet.bids += 1;
            let bid = format!("r-{}-{}", self.epoch, self.fleet.bids);
            let record = ProvisioningRecord {
                instance_type: key.flavor.clone(),
                zone: key.zone.clone(),
                spot: key.spot,
                count: left.min(MAX_INSTANCES_PER_CREATE),
            };
            left -= record.count;
            self.ledger.push(LogEntry::WriteKey {
                write: WriteOp::put(records::provisioning_key(&bid), &record),
            });
            let renting = Renting {
                record,
                stage: Stage::Writing,
                turn: (rank.unwrap_or(PriorityClass::BestEffort), self.fleet.bids),
                sent: false,
            };
            self.fleet.rentals.insert(bid, renting);
        }
    }
}
