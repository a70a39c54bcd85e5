//! The simulated state service. `KvStore` implements its protocol; this module adds outages, delays of responses,
//! and watches that wait for changes.

use super::kv_store::KvStore;
use super::*;
use cedarladder::bookkeeping::records::{LEADER_KEY, OPEN_PREFIX};

/// Number of keys in a page of a listing. It is small so that listings take several pages.
const PAGE_SIZE: usize = 3;

/// A watch request that waits for changes.
#[derive(Clone)]
pub(super) struct Watch {
    pub(super) controller: usize,
    process_incarnation: u64,
    correlation_id: u64,
    prefix: String,
    after_revision: u64,
    until: f64,
}

/// The simulated state service: its keys, the watches that wait for changes, and whether it is in an outage.
pub(super) struct KvService {
    pub(super) store: KvStore,
    pub(super) watches: Vec<Watch>,
    pub(super) is_down: bool,
}

impl Default for KvService {
    fn default() -> KvService {
        KvService {
            // Simulations are short, so all changes are kept and no watch fails because changes were dropped.
            store: KvStore::new(usize::MAX),
            watches: Vec::new(),
            is_down: false,
        }
    }
}

impl KvService {
    /// Revokes expired leases. During an outage no lease expires.
    pub(super) fn expire_leases(&mut self, now: f64) {
        if !self.is_down {
            self.store.expire_leases(now);
        }
    }

    /// Begins or ends an outage. At its end, all leases are extended to their full time to live.
    pub(super) fn set_down(&mut self, is_down: bool, now: f64) {
        self.is_down = is_down;
        if !is_down {
            self.store.extend_leases(now);
        }
    }

    fn respond(&mut self, request: &KvRequest, now: f64) -> KvResponse {
        if self.is_down {
            return KvResponse::Unavailable;
        }
        match request {
            KvRequest::Get(key) => self.store.get(key),
            KvRequest::List { prefix, after } => {
                self.store.list(prefix, after.as_deref(), PAGE_SIZE)
            }
            KvRequest::Txn(txn) => self.store.transact(txn),
            KvRequest::GrantLease(ttl_ms) => self.store.grant_lease(*ttl_ms, now),
            KvRequest::KeepAlive(lease_id) => self.store.keep_alive(*lease_id, now),
            KvRequest::RevokeLease(lease_id) => self.store.revoke_lease(*lease_id),
            KvRequest::Watch { .. } => {
                unreachable!("watch request that was not passed to `answer_watches`")
            }
        }
    }
}

impl World {
    pub(super) fn on_kv_request(
        &mut self,
        i: usize,
        process_incarnation: u64,
        correlation_id: u64,
        request: KvRequest,
    ) {
        if self.now < self.state_requests_fail_until[i] {
            let unavailable = KvResponse::Unavailable;
            let event =
                SimEvent::KvResponseArrives(i, process_incarnation, correlation_id, unavailable);
            self.schedule_after(0.003, event);
            return;
        }
        if let KvRequest::Watch {
            prefix,
            after,
            wait_ms,
        } = request
        {
            if prefix == OPEN_PREFIX && self.now < self.watch_limited_until[i] {
                self.counts.rate_limited_watches += 1;
                let rate_limited = KvResponse::RateLimited;
                let event = SimEvent::KvResponseArrives(
                    i,
                    process_incarnation,
                    correlation_id,
                    rate_limited,
                );
                self.schedule_after(0.003, event);
                return;
            }
            if self.process_incarnations[i] == process_incarnation {
                self.kv.watches.push(Watch {
                    controller: i,
                    process_incarnation,
                    correlation_id,
                    prefix,
                    after_revision: after,
                    until: self.now + wait_ms as f64 / 1000.0,
                });
            }
            return;
        }
        if self.now < self.listings_hang_until && matches!(request, KvRequest::List { .. }) {
            return;
        }
        let response = self.kv.respond(&request, self.now);
        if let (KvRequest::Txn(txn), KvResponse::Committed(_)) = (&request, &response)
            && !txn.writes.is_empty()
        {
            let highest = self.newest_txn.entry(i).or_default();
            self.counts.out_of_order_txns += u32::from(correlation_id < *highest);
            *highest = correlation_id.max(*highest);
            let puts_leader =
                |write: &WriteOp| matches!(write, WriteOp::Put { key, .. } if key == LEADER_KEY);
            self.counts.leader_key_puts += usize::from(txn.writes.iter().any(puts_leader));
        }
        let event = SimEvent::KvResponseArrives(i, process_incarnation, correlation_id, response);
        self.send_response(0.003 + self.faults.state_service_delay_s, event);
    }

    /// Responds to the watches for which there are changes or whose time is up.
    pub(super) fn answer_watches(&mut self) {
        if self.kv.is_down {
            return;
        }
        let mut waiting = Vec::new();
        for watch in std::mem::take(&mut self.kv.watches) {
            match self.watch_response(&watch) {
                None => waiting.push(watch),
                Some(response) => {
                    let event = SimEvent::KvResponseArrives(
                        watch.controller,
                        watch.process_incarnation,
                        watch.correlation_id,
                        response,
                    );
                    self.schedule_after(0.003, event);
                }
            }
        }
        self.kv.watches = waiting;
    }

    /// Returns the response to a watch, or `None` if the watch has to wait longer.
    fn watch_response(&self, watch: &Watch) -> Option<KvResponse> {
        let watch_hangs =
            watch.prefix == OPEN_PREFIX && self.now < self.watch_hangs_until[watch.controller];
        if watch_hangs || self.now < self.state_requests_fail_until[watch.controller] {
            return None;
        }
        let response = self
            .kv
            .store
            .changes_after(&watch.prefix, watch.after_revision);
        let has_no_changes =
            matches!(&response, KvResponse::Events { events, .. } if events.is_empty());
        (!has_no_changes || self.now >= watch.until).then_some(response)
    }
}
