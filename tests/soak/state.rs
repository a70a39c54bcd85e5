//! The state service, with a port for each controller so that troubles may concern one alone.

use super::clock::Clock;
use super::http::{Reply, Request};
use super::plan::Trouble;
use super::truth::{Shared, lock};
use cedarladder::protocol::cbor;
use cedarladder::protocol::kv::{KeyValue, Txn, WatchEvent, WriteOp};
use ciborium::Value;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};

/// Changes that the service remembers for watches.
const KEPT_CHANGES: usize = 10_000;
/// Items in a page of keys at most.
const MAX_PAGE: usize = 1000;
/// Seconds between two looks of a watch that waits.
const LOOK_S: f64 = 0.002;

#[derive(Debug, Clone)]
struct Entry {
    value: Value,
    stamp: u64,
    hold: Option<u64>,
}

#[derive(Debug)]
struct Hold {
    life_s: f64,
    until: f64,
}

#[derive(Debug, Default)]
struct Store {
    revision: u64,
    keys: BTreeMap<String, Entry>,
    holds: BTreeMap<u64, Hold>,
    next_hold: u64,
    changes: VecDeque<(u64, WatchEvent)>,
    dropped_up_to: u64,
}

#[derive(Serialize)]
struct Revision {
    #[serde(rename = "Ledger")]
    ledger: u64,
}

#[derive(Serialize)]
struct Conflict {
    failed: Vec<String>,
    #[serde(rename = "Ledger")]
    ledger: u64,
}

#[derive(Serialize)]
struct Page {
    #[serde(rename = "Items")]
    items: Vec<KeyValue>,
    #[serde(rename = "More")]
    more: bool,
    #[serde(rename = "Ledger")]
    ledger: u64,
}

#[derive(Serialize)]
struct Changes {
    #[serde(rename = "Ledger")]
    ledger: u64,
    #[serde(rename = "Events")]
    events: Vec<WatchEvent>,
}

#[derive(Serialize, Deserialize)]
struct HoldBody {
    #[serde(rename = "Hold")]
    hold: u64,
}

#[derive(Deserialize)]
struct Life {
    #[serde(rename = "LifeMs")]
    life_ms: u64,
}

/// An error's body.
#[derive(Serialize)]
pub struct ErrorBody {
    pub error: &'static str,
}

fn refusal(status: u16, error: &'static str) -> Reply {
    Reply::new(status, &ErrorBody { error })
}

impl Store {
    fn change(&mut self, writes: &[WriteOp]) {
        self.revision += 1;
        let stamp = self.revision;
        for write in writes {
            let event = match write {
                WriteOp::Put {
                    key,
                    value,
                    lease_id: hold,
                } => {
                    let entry = Entry {
                        value: value.clone(),
                        stamp,
                        hold: *hold,
                    };
                    self.keys.insert(key.clone(), entry);
                    WatchEvent::Put {
                        key: key.clone(),
                        value: value.clone(),
                        mod_revision: stamp,
                    }
                }
                WriteOp::Delete { key } => {
                    if self.keys.remove(key).is_none() {
                        continue;
                    }
                    WatchEvent::Delete {
                        key: key.clone(),
                        mod_revision: stamp,
                    }
                }
            };
            self.changes.push_back((stamp, event));
        }
        while self.changes.len() > KEPT_CHANGES {
            if let Some((stamp, _)) = self.changes.pop_front() {
                self.dropped_up_to = stamp;
            }
        }
    }

    fn transact(&mut self, txn: &Txn) -> Reply {
        let no_lease = txn.writes.iter().any(|write| {
            matches!(write, WriteOp::Put { lease_id: Some(hold), .. } if !self.holds.contains_key(hold))
        });
        if no_lease {
            return refusal(400, "no such lease");
        }
        let stamp_of = |key: &String| self.keys.get(key).map_or(0, |entry| entry.stamp);
        let failed: Vec<String> = txn
            .compares
            .iter()
            .filter(|condition| stamp_of(&condition.key) != condition.mod_revision)
            .map(|condition| condition.key.clone())
            .collect();
        if !failed.is_empty() {
            let ledger = self.revision;
            return Reply::new(409, &Conflict { failed, ledger });
        }
        if !txn.writes.is_empty() {
            self.change(&txn.writes);
        }
        let ledger = self.revision;
        Reply::new(200, &Revision { ledger })
    }

    fn end_hold(&mut self, hold: u64) -> bool {
        if self.holds.remove(&hold).is_none() {
            return false;
        }
        let attached: Vec<WriteOp> = self
            .keys
            .iter()
            .filter(|(_, entry)| entry.hold == Some(hold))
            .map(|(key, _)| WriteOp::delete(key.clone()))
            .collect();
        if !attached.is_empty() {
            self.change(&attached);
        }
        true
    }

    fn page(&self, under: &str, from: Option<&String>, size: usize) -> Page {
        let matching = |key: &&String| {
            key.starts_with(under) && from.is_none_or(|from| key.as_str() > from.as_str())
        };
        let mut items: Vec<KeyValue> = self
            .keys
            .iter()
            .filter(|(key, _)| matching(key))
            .take(size + 1)
            .map(|(key, entry)| item(key, entry))
            .collect();
        let more = items.len() > size;
        items.truncate(size);
        Page {
            items,
            more,
            ledger: self.revision,
        }
    }

    fn changes_since(&self, under: &str, from: u64) -> Vec<WatchEvent> {
        let concerns = |event: &WatchEvent| {
            let (WatchEvent::Put { key, .. } | WatchEvent::Delete { key, .. }) = event;
            key.starts_with(under)
        };
        self.changes
            .iter()
            .filter(|(stamp, event)| *stamp > from && concerns(event))
            .map(|(_, event)| event.clone())
            .collect()
    }
}

fn item(key: &str, entry: &Entry) -> KeyValue {
    KeyValue {
        key: key.to_owned(),
        value: entry.value.clone(),
        mod_revision: entry.stamp,
        lease_id: entry.hold,
    }
}

/// The state service.
#[derive(Clone)]
pub struct StateService {
    store: Arc<Mutex<Store>>,
    truth: Shared,
    clock: Clock,
}

impl StateService {
    pub fn new(truth: Shared, clock: Clock) -> StateService {
        StateService {
            store: Arc::default(),
            truth,
            clock,
        }
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        self.store
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Ends leases that were not renewed; during an outage none ends.
    pub async fn expire_holds(self) {
        loop {
            self.clock.sleep(LOOK_S * 5.0).await;
            let out = lock(&self.truth).faults.any(Trouble::StateOutage);
            let now = self.clock.now();
            let mut store = self.store();
            if out {
                for hold in store.holds.values_mut() {
                    hold.until = now + hold.life_s;
                }
                continue;
            }
            let over: Vec<u64> = store
                .holds
                .iter()
                .filter(|(_, hold)| now > hold.until)
                .map(|(number, _)| *number)
                .collect();
            for hold in over {
                store.end_hold(hold);
            }
        }
    }

    /// Answers a controller.
    pub async fn handle(self, node: usize, request: Request) -> Option<Reply> {
        let lost = match self.trouble_of(node) {
            Some(Trouble::CutFromState) => return None,
            Some(Trouble::LoseStateAnswers) => true,
            Some(_) => return Some(refusal(503, "trouble")),
            None => false,
        };
        if request.path == "/follow" {
            return self.follow(node, &request).await;
        }
        if request.path == "/txn"
            && let Some(late_s) = self.late_transaction(&request)
        {
            self.clock.sleep(late_s).await;
            let _ = self.execute(&request);
            return None;
        }
        let reply = self.execute(&request);
        (!lost).then_some(reply)
    }

    /// The trouble that concerns a controller's requests now; it is counted.
    fn trouble_of(&self, node: usize) -> Option<Trouble> {
        let faults = &mut lock(&self.truth).faults;
        let found = if faults.any(Trouble::StateOutage) {
            Some(Trouble::StateOutage)
        } else {
            let alone = [
                Trouble::CutFromState,
                Trouble::RefuseNode,
                Trouble::LoseStateAnswers,
            ];
            alone
                .into_iter()
                .find(|trouble| faults.at_node(*trouble, node))
        };
        if let Some(trouble) = found {
            faults.note(trouble);
        }
        found
    }

    fn late_transaction(&self, request: &Request) -> Option<f64> {
        let writes = cbor::decode::<Txn>(&request.body).is_ok_and(|txn| !txn.writes.is_empty());
        let truth = &mut *lock(&self.truth);
        let late_s = truth
            .faults
            .lateness(Trouble::LateTransactions, &mut truth.chance);
        late_s.filter(|_| writes)
    }

    fn execute(&self, request: &Request) -> Reply {
        let mut store = self.store();
        let parts: Vec<&str> = request.path.trim_matches('/').split('/').collect();
        match (request.method.as_str(), parts.as_slice()) {
            ("POST", ["txn"]) => match cbor::decode::<Txn>(&request.body) {
                Ok(txn) => store.transact(&txn),
                Err(_) => refusal(400, "not a transaction"),
            },
            ("POST", ["holds"]) => match cbor::decode::<Life>(&request.body) {
                Ok(life) => self.grant(&mut store, life.life_ms),
                Err(_) => refusal(400, "no life"),
            },
            ("POST", ["holds", hold, "renew"]) => self.renew(&mut store, hold),
            ("DELETE", ["holds", hold]) => {
                let ended = hold.parse().is_ok_and(|hold| store.end_hold(hold));
                Reply::new(if ended { 200 } else { 404 }, &())
            }
            ("GET", ["keys"]) => {
                let under = request.query.get("Under").map_or("", String::as_str);
                let size = request.query.get("Page").and_then(|size| size.parse().ok());
                let size = size.unwrap_or(MAX_PAGE).min(MAX_PAGE);
                Reply::new(200, &store.page(under, request.query.get("From"), size))
            }
            ("GET", ["keys", ..]) => {
                let key = request.path.trim_start_matches("/keys/");
                match store.keys.get(key) {
                    Some(entry) => Reply::new(200, &item(key, entry)),
                    None => Reply::new(
                        404,
                        &Revision {
                            ledger: store.revision,
                        },
                    ),
                }
            }
            _ => refusal(400, "no such call"),
        }
    }

    fn grant(&self, store: &mut Store, life_ms: u64) -> Reply {
        store.next_hold += 1;
        let life_s = life_ms as f64 / 1000.0;
        let hold = Hold {
            life_s,
            until: self.clock.now() + life_s,
        };
        let number = store.next_hold;
        store.holds.insert(number, hold);
        Reply::new(200, &HoldBody { hold: number })
    }

    fn renew(&self, store: &mut Store, hold: &str) -> Reply {
        let known = hold
            .parse::<u64>()
            .ok()
            .and_then(|hold| store.holds.get_mut(&hold));
        match known {
            Some(hold) => {
                hold.until = self.clock.now() + hold.life_s;
                Reply::new(200, &())
            }
            None => Reply::new(404, &()),
        }
    }

    async fn follow(&self, node: usize, request: &Request) -> Option<Reply> {
        let number = |name: &str| -> u64 {
            let text = request.query.get(name);
            text.and_then(|text| text.parse().ok()).unwrap_or(0)
        };
        let under = request.query.get("Under").cloned().unwrap_or_default();
        let from = number("From");
        let until = self.clock.now() + number("WaitMs") as f64 / 1000.0;
        loop {
            // Open watches stay open while this controller is refused, and bring nothing.
            let waits = {
                let truth = lock(&self.truth);
                truth.faults.any(Trouble::StateOutage)
                    || truth.faults.at_node(Trouble::RefuseNode, node)
                    || truth.faults.at_node(Trouble::CutFromState, node)
            };
            if !waits {
                let store = self.store();
                if from < store.dropped_up_to {
                    return Some(refusal(410, "too old"));
                }
                let events = store.changes_since(&under, from);
                if !events.is_empty() || self.clock.now() >= until {
                    let ledger = store.revision;
                    return Some(Reply::new(200, &Changes { ledger, events }));
                }
            }
            self.clock.sleep(LOOK_S).await;
        }
    }
}
