//! The state service stand-in. Each controller has a port of its own, so that faults can affect a single controller.

use super::clock::Clock;
use super::http::{Reply, Request};
use super::kv_store::KvStore;
use super::oracle::{Shared, lock};
use super::plan::Fault;
use cedarladder::protocol::cbor;
use cedarladder::protocol::kv::{KeyValue, KvResponse, Txn, WatchEvent};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard};

/// Number of changes that the service keeps for watches.
const MAX_KEPT_CHANGES: usize = 10_000;
/// Largest number of items in a page of a listing.
const MAX_PAGE: usize = 1000;
/// Interval between two checks for changes while a watch waits, in seconds.
const POLL_INTERVAL_S: f64 = 0.002;

#[derive(Serialize)]
struct Revision {
    #[serde(rename = "Ledger")]
    revision: u64,
}

#[derive(Serialize)]
struct FailedCompares {
    failed: Vec<String>,
    #[serde(rename = "Ledger")]
    revision: u64,
}

#[derive(Serialize)]
struct Page {
    #[serde(rename = "Items")]
    items: Vec<KeyValue>,
    #[serde(rename = "More")]
    more: bool,
    #[serde(rename = "Ledger")]
    revision: u64,
}

#[derive(Serialize)]
struct Changes {
    #[serde(rename = "Ledger")]
    revision: u64,
    #[serde(rename = "Events")]
    events: Vec<WatchEvent>,
}

#[derive(Serialize)]
struct LeaseBody {
    #[serde(rename = "Hold")]
    lease_id: u64,
}

#[derive(Deserialize)]
struct GrantBody {
    #[serde(rename = "LifeMs")]
    ttl_ms: u64,
}

/// Error text that the protocols of the state service and the cloud define for an outage.
pub const OUTAGE_ERROR: &str = "trouble";

/// The body of an error response of the state service or the cloud.
#[derive(Serialize)]
pub struct ErrorBody {
    pub error: &'static str,
}

fn error_reply(status: u16, error: &'static str) -> Reply {
    Reply::new(status, &ErrorBody { error })
}

/// Encodes a response of the store. `revision` is the revision of the store after the request.
fn reply(response: KvResponse, revision: u64) -> Reply {
    match response {
        KvResponse::Value(key_value) => Reply::new(200, &key_value),
        KvResponse::Page {
            items,
            more,
            revision,
        } => Reply::new(
            200,
            &Page {
                items,
                more,
                revision,
            },
        ),
        KvResponse::Events { events, revision } => Reply::new(200, &Changes { revision, events }),
        KvResponse::Committed(revision) => Reply::new(200, &Revision { revision }),
        KvResponse::LeaseGranted(lease_id) => Reply::new(200, &LeaseBody { lease_id }),
        KvResponse::LeaseOk => Reply::new(200, &()),
        KvResponse::NotFound => Reply::new(404, &Revision { revision }),
        KvResponse::LeaseExpired => Reply::new(404, &()),
        KvResponse::CompareFailed(failed) => Reply::new(409, &FailedCompares { failed, revision }),
        KvResponse::Compacted => error_reply(410, "too old"),
        KvResponse::InvalidRequest => error_reply(400, "no such lease"),
        KvResponse::RateLimited => error_reply(429, "too many requests"),
        KvResponse::Unavailable => error_reply(503, OUTAGE_ERROR),
        KvResponse::OutcomeUnknown => unreachable!("the store itself always knows the outcome"),
    }
}

/// The state service stand-in.
#[derive(Clone)]
pub struct StateService {
    store: Arc<Mutex<KvStore>>,
    oracle: Shared,
    clock: Clock,
}

impl StateService {
    pub fn new(oracle: Shared, clock: Clock) -> StateService {
        StateService {
            store: Arc::new(Mutex::new(KvStore::new(MAX_KEPT_CHANGES))),
            oracle,
            clock,
        }
    }

    fn store(&self) -> MutexGuard<'_, KvStore> {
        self.store
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Expires leases that were not renewed. During an outage no lease expires.
    pub async fn expire_leases(self) {
        loop {
            self.clock.sleep(POLL_INTERVAL_S * 5.0).await;
            let is_out = lock(&self.oracle)
                .faults
                .is_active(Fault::StateServiceOutage);
            let now = self.clock.now();
            let mut store = self.store();
            if is_out {
                store.extend_leases(now);
            } else {
                store.expire_leases(now);
            }
        }
    }

    /// Handles a request of a controller. Returns no response if a fault loses the request or the response, or delays
    /// the request.
    pub async fn handle(self, node: usize, request: Request) -> Option<Reply> {
        let response_lost = match self.active_fault(node) {
            Some(Fault::PartitionFromStateService) => return None,
            Some(Fault::LoseStateServiceResponses) => true,
            Some(_) => return Some(error_reply(503, OUTAGE_ERROR)),
            None => false,
        };
        if request.path == "/follow" {
            return self.watch(node, &request).await;
        }
        if request.path == "/txn"
            && let Some(delay_s) = self.transaction_delay(&request)
        {
            self.clock.sleep(delay_s).await;
            let _ = self.respond(&request);
            return None;
        }
        let reply = self.respond(&request);
        (!response_lost).then_some(reply)
    }

    /// The active fault that affects the requests of a controller, if any. Counts that the fault was applied.
    fn active_fault(&self, node: usize) -> Option<Fault> {
        let faults = &mut lock(&self.oracle).faults;
        let found = if faults.is_active(Fault::StateServiceOutage) {
            Some(Fault::StateServiceOutage)
        } else {
            let single_node_faults = [
                Fault::PartitionFromStateService,
                Fault::RejectController,
                Fault::LoseStateServiceResponses,
            ];
            single_node_faults
                .into_iter()
                .find(|fault| faults.affects_node(*fault, node))
        };
        if let Some(fault) = found {
            faults.count(fault);
        }
        found
    }

    /// The delay of a transaction that [`Fault::DelayTransactions`] affects; `None` if it is not affected or writes
    /// nothing.
    fn transaction_delay(&self, request: &Request) -> Option<f64> {
        let writes = cbor::decode::<Txn>(&request.body).is_ok_and(|txn| !txn.writes.is_empty());
        let oracle = &mut *lock(&self.oracle);
        let delay_s = oracle
            .faults
            .draw_delay(Fault::DelayTransactions, &mut oracle.rng);
        delay_s.filter(|_| writes)
    }

    fn respond(&self, request: &Request) -> Reply {
        match self.execute(request) {
            Ok((response, revision)) => reply(response, revision),
            Err(error) => error_reply(400, error),
        }
    }

    /// Executes a request. Returns the response and the revision of the store after it, or an error if the request is
    /// malformed.
    fn execute(&self, request: &Request) -> Result<(KvResponse, u64), &'static str> {
        let now = self.clock.now();
        let mut store = self.store();
        let parts: Vec<&str> = request.path.trim_matches('/').split('/').collect();
        let response = match (request.method.as_str(), parts.as_slice()) {
            ("POST", ["txn"]) => {
                let txn = cbor::decode::<Txn>(&request.body);
                store.transact(&txn.map_err(|_| "not a transaction")?)
            }
            ("POST", ["holds"]) => {
                let grant = cbor::decode::<GrantBody>(&request.body);
                store.grant_lease(
                    grant.map_err(|_| "the body has no lease duration")?.ttl_ms,
                    now,
                )
            }
            ("POST", ["holds", lease_id, "renew"]) => match lease_id.parse() {
                Ok(lease_id) => store.keep_alive(lease_id, now),
                Err(_) => KvResponse::LeaseExpired,
            },
            ("DELETE", ["holds", lease_id]) => match lease_id.parse() {
                Ok(lease_id) => store.revoke_lease(lease_id),
                Err(_) => KvResponse::LeaseExpired,
            },
            ("GET", ["keys"]) => {
                let prefix = request.query.get("Under").map_or("", String::as_str);
                let after = request.query.get("From").map(String::as_str);
                let size = request.query.get("Page").and_then(|size| size.parse().ok());
                store.list(prefix, after, size.unwrap_or(MAX_PAGE).min(MAX_PAGE))
            }
            ("GET", ["keys", ..]) => store.get(request.path.trim_start_matches("/keys/")),
            _ => return Err("no such path or method"),
        };
        Ok((response, store.revision()))
    }

    /// Responds when a key below the prefix changes, or at the latest when the time in the request is over and no fault
    /// affects the controller.
    async fn watch(&self, node: usize, request: &Request) -> Option<Reply> {
        let number = |name: &str| -> u64 {
            let text = request.query.get(name);
            text.and_then(|text| text.parse().ok()).unwrap_or(0)
        };
        let prefix = request.query.get("Under").cloned().unwrap_or_default();
        let after = number("From");
        let until = self.clock.now() + number("WaitMs") as f64 / 1000.0;
        loop {
            // During an outage, a rejection or a partition, open watches of the affected controllers get no response.
            let is_suspended = {
                let oracle = lock(&self.oracle);
                oracle.faults.is_active(Fault::StateServiceOutage)
                    || oracle.faults.affects_node(Fault::RejectController, node)
                    || oracle
                        .faults
                        .affects_node(Fault::PartitionFromStateService, node)
            };
            if !is_suspended {
                let store = self.store();
                let response = store.changes_after(&prefix, after);
                let is_quiet =
                    matches!(&response, KvResponse::Events { events, .. } if events.is_empty());
                if !is_quiet || self.clock.now() >= until {
                    return Some(reply(response, store.revision()));
                }
            }
            self.clock.sleep(POLL_INTERVAL_S).await;
        }
    }
}
