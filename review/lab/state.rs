//! The state service of PROTOCOL: keys, transactions, leases and watches, with its limits. Each controller has a port of
//! its own, so that one of them can be refused.

use crate::cbor::Value;
use crate::http::{self, Reply, Request};
use crate::record::Record;
use std::collections::{BTreeMap, VecDeque};
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_bytes: usize,
    pub txn_ops: usize,
}

struct Entry {
    value: Value,
    stamp: u64,
    hold: Option<u64>,
}

struct Hold {
    life_s: f64,
    ends_at: f64,
}

/// A rate limit with bursts of one second's worth.
struct Bucket {
    rate: f64,
    tokens: f64,
    filled_at: f64,
}

impl Bucket {
    fn take(&mut self, count: f64, now: f64) -> bool {
        self.tokens = (self.tokens + (now - self.filled_at) * self.rate).min(self.rate);
        self.filled_at = now;
        let taken = self.tokens >= count;
        if taken {
            self.tokens -= count;
        }
        taken
    }
}

struct Store {
    ledger: u64,
    keys: BTreeMap<String, Entry>,
    holds: BTreeMap<u64, Hold>,
    last_hold: u64,
    changes: VecDeque<(u64, String, Value)>,
    dropped_up_to: u64,
    requests: Bucket,
    writes: Bucket,
}

const KEPT_CHANGES: usize = 10_000;
const MAX_ITEMS: usize = 1000;
const MAX_PAGE_BYTES: usize = 512 * 1024;
const MAX_TXN_BYTES: usize = 64 * 1024;

#[derive(Clone)]
pub struct State {
    store: Arc<(Mutex<Store>, Condvar)>,
    record: Arc<Record>,
    limits: Arc<Limits>,
}

fn error(status: u16, text: &str) -> Reply {
    Some((status, Value::map(vec![("error", Value::text(text))])))
}

fn number(value: u64) -> Value {
    Value::Int(value.into())
}

impl State {
    pub fn new(record: Arc<Record>, limits: Limits) -> State {
        let bucket = |rate: f64| Bucket {
            rate,
            tokens: rate,
            filled_at: 0.0,
        };
        let store = Store {
            ledger: 0,
            keys: BTreeMap::new(),
            holds: BTreeMap::new(),
            last_hold: 0,
            changes: VecDeque::new(),
            dropped_up_to: 0,
            requests: bucket(limits.rps),
            writes: bucket(limits.write_rps),
        };
        let state = State {
            store: Arc::new((Mutex::new(store), Condvar::new())),
            record,
            limits: Arc::new(limits),
        };
        let expiry = state.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                expiry.expire_holds();
            }
        });
        state
    }

    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store
            .0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Serves the requests of one controller on a listener.
    pub fn serve(&self, node: usize, listener: TcpListener) {
        let state = self.clone();
        http::serve(listener, move |request| state.handle(node, &request));
    }

    /// The `Label` in the key `leader`; empty if there is none.
    pub fn leader(&self) -> String {
        let store = self.lock();
        let leader = store.keys.get("leader");
        leader.map_or(String::new(), |entry| {
            entry.value.get("Label").str().to_owned()
        })
    }

    fn expire_holds(&self) {
        let now = self.record.now();
        let mut store = self.lock();
        let ended: Vec<u64> = store
            .holds
            .iter()
            .filter(|(_, hold)| hold.ends_at < now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            store.end_hold(id);
        }
        drop(store);
        self.store.1.notify_all();
    }

    fn handle(&self, node: usize, request: &Request) -> Reply {
        let now = self.record.now();
        {
            let mut store = self.lock();
            if !store.requests.take(1.0, now) {
                return error(429, "too many requests");
            }
        }
        let parts: Vec<&str> = request.path.trim_matches('/').split('/').collect();
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["keys"]) => self.list(request),
            ("GET", ["keys", ..]) => self.get(request.path.trim_start_matches("/keys/")),
            ("POST", ["txn"]) => self.transact(node, &request.body, now),
            ("POST", ["holds"]) => self.grant(&request.body, now),
            ("POST", ["holds", id, "renew"]) => self.renew(id, now),
            ("DELETE", ["holds", id]) => {
                let ended = self.lock().end_hold(id.parse().unwrap_or(0));
                self.store.1.notify_all();
                Some((if ended { 200 } else { 404 }, Value::Map(Vec::new())))
            }
            ("GET", ["follow"]) => self.follow(request),
            _ => error(400, "no such path"),
        }
    }

    fn get(&self, key: &str) -> Reply {
        let store = self.lock();
        match store.keys.get(key) {
            Some(entry) => Some((200, item(key, entry))),
            None => Some((404, Value::map(vec![("Ledger", number(store.ledger))]))),
        }
    }

    fn list(&self, request: &Request) -> Reply {
        let store = self.lock();
        let under = request.query("Under").unwrap_or("");
        let from = request.query("From").unwrap_or("");
        let page: usize = request
            .query("Page")
            .and_then(|n| n.parse().ok())
            .unwrap_or(MAX_ITEMS);
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        let listed = store
            .keys
            .iter()
            .filter(|(key, _)| key.starts_with(under) && key.as_str() > from);
        for (key, entry) in listed {
            let item = item(key, entry);
            bytes += item.json_len();
            if items.len() >= page.min(MAX_ITEMS) || bytes > MAX_PAGE_BYTES {
                more = true;
                break;
            }
            items.push(item);
        }
        let fields = vec![
            ("Items", Value::List(items)),
            ("More", Value::Bool(more)),
            ("Ledger", number(store.ledger)),
        ];
        Some((200, Value::map(fields)))
    }

    fn transact(&self, node: usize, txn: &Value, now: f64) -> Reply {
        let (when, writes) = (txn.get("When").list(), txn.get("Writes").list());
        let key_of = |write: &Value| {
            let put = write.get("Set").str();
            if put.is_empty() {
                write.get("Remove").str().to_owned()
            } else {
                put.to_owned()
            }
        };
        let is_malformed = writes.len() > self.limits.txn_ops
            || when.len() > 4 * self.limits.txn_ops
            || txn.json_len() > MAX_TXN_BYTES
            || writes.iter().any(|write| {
                let key = key_of(write);
                key.is_empty()
                    || key.len() > 200
                    || key.contains(' ')
                    || write.get("V").json_len() > self.limits.value_bytes
            });
        if is_malformed {
            self.record
                .line(&format!("state: malformed transaction of node {node}"));
            return error(400, "malformed");
        }
        let mut store = self.lock();
        if !store.writes.take(writes.len() as f64, now) {
            return error(429, "too many changes");
        }
        let unknown_hold = |store: &Store, write: &Value| {
            !write.get("Hold").is_null() && !store.holds.contains_key(&write.get("Hold").u64())
        };
        if writes.iter().any(|write| unknown_hold(&store, write)) {
            return error(400, "no such lease");
        }
        let failed: Vec<Value> = when
            .iter()
            .filter(|compare| {
                let stamp = store
                    .keys
                    .get(compare.get("Path").str())
                    .map_or(0, |e| e.stamp);
                stamp != compare.get("Stamp").u64()
            })
            .map(|compare| compare.get("Path").clone())
            .collect();
        if !failed.is_empty() {
            let fields = vec![
                ("failed", Value::List(failed)),
                ("Ledger", number(store.ledger)),
            ];
            return Some((409, Value::map(fields)));
        }
        if !writes.is_empty() {
            store.ledger += 1;
            for write in writes {
                let hold = write.get("Hold");
                let hold = (!hold.is_null()).then(|| hold.u64());
                let put = !write.get("Set").str().is_empty();
                store.change(key_of(write), put.then(|| write.get("V").clone()), hold);
                if key_of(write) == "leader" {
                    let leader = write.get("V").get("Label").str();
                    self.record
                        .line(&format!("state: key leader names {leader}"));
                }
            }
        }
        let ledger = store.ledger;
        drop(store);
        self.store.1.notify_all();
        Some((200, Value::map(vec![("Ledger", number(ledger))])))
    }

    fn grant(&self, body: &Value, now: f64) -> Reply {
        let life_ms = body.get("LifeMs").u64();
        if !(100..=600_000).contains(&life_ms) {
            return error(400, "malformed");
        }
        let life_s = life_ms as f64 / 1000.0;
        let mut store = self.lock();
        store.last_hold += 1;
        let id = store.last_hold;
        store.holds.insert(
            id,
            Hold {
                life_s,
                ends_at: now + life_s,
            },
        );
        Some((200, Value::map(vec![("Hold", number(id))])))
    }

    fn renew(&self, id: &str, now: f64) -> Reply {
        let mut store = self.lock();
        match store.holds.get_mut(&id.parse().unwrap_or(0)) {
            Some(hold) => {
                hold.ends_at = now + hold.life_s;
                Some((200, Value::Map(Vec::new())))
            }
            None => error(404, "no such lease"),
        }
    }

    fn follow(&self, request: &Request) -> Reply {
        let under = request.query("Under").unwrap_or("").to_owned();
        let from: u64 = request
            .query("From")
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        let wait_ms: f64 = request
            .query("WaitMs")
            .and_then(|n| n.parse().ok())
            .unwrap_or(0.0);
        let until = self.record.now() + wait_ms.min(60_000.0) / 1000.0;
        let mut store = self.lock();
        loop {
            let now = self.record.now();
            if from < store.dropped_up_to {
                return error(410, "too old");
            }
            let events: Vec<Value> = store
                .changes
                .iter()
                .filter(|(stamp, key, _)| *stamp > from && key.starts_with(&under))
                .map(|(_, _, event)| event.clone())
                .collect();
            if !events.is_empty() || now >= until {
                let ledger = number(store.ledger);
                let fields = vec![("Ledger", ledger), ("Events", Value::List(events))];
                return Some((200, Value::map(fields)));
            }
            let wait = Duration::from_secs_f64((until - now).clamp(0.005, 0.1));
            store = match self.store.1.wait_timeout(store, wait) {
                Ok((store, _)) => store,
                Err(_) => return error(503, "trouble"),
            };
        }
    }
}

impl Store {
    /// Puts or removes a key at the current revision.
    fn change(&mut self, key: String, value: Option<Value>, hold: Option<u64>) {
        let stamp = self.ledger;
        let event = match value {
            Some(value) => {
                let event = Value::map(vec![
                    ("Set", Value::text(&key)),
                    ("V", value.clone()),
                    ("Stamp", number(stamp)),
                ]);
                self.keys.insert(key.clone(), Entry { value, stamp, hold });
                event
            }
            None => {
                if self.keys.remove(&key).is_none() {
                    return;
                }
                Value::map(vec![
                    ("Remove", Value::text(&key)),
                    ("Stamp", number(stamp)),
                ])
            }
        };
        self.changes.push_back((stamp, key, event));
        while self.changes.len() > KEPT_CHANGES {
            if let Some((stamp, _, _)) = self.changes.pop_front() {
                self.dropped_up_to = stamp;
            }
        }
    }

    fn end_hold(&mut self, id: u64) -> bool {
        if self.holds.remove(&id).is_none() {
            return false;
        }
        let attached = self.keys.iter().filter(|(_, entry)| entry.hold == Some(id));
        let attached: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        if !attached.is_empty() {
            self.ledger += 1;
            for key in attached {
                self.change(key, None, None);
            }
        }
        true
    }
}

fn item(key: &str, entry: &Entry) -> Value {
    let mut fields = vec![
        ("Path", Value::text(key)),
        ("V", entry.value.clone()),
        ("Stamp", number(entry.stamp)),
    ];
    if let Some(hold) = entry.hold {
        fields.push(("Hold", number(hold)));
    }
    Value::map(fields)
}
