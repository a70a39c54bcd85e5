//! The state service. Each controller reaches it at an address of its own.

use crate::cbor::{Value, int, map, text};
use crate::http::{Reply, Request, serve};
use crate::record::{Record, sleep};
use crate::site::Site;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

struct Entry {
    value: Value,
    stamp: u64,
    hold: Option<u64>,
}

struct Lease {
    life_s: f64,
    ends_at: f64,
}

struct Bucket {
    rate: f64,
    left: f64,
    at: f64,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket {
            rate,
            left: rate,
            at: 0.0,
        }
    }
    fn take(&mut self, count: f64, now: f64) -> bool {
        self.left = (self.left + (now - self.at) * self.rate).min(self.rate);
        self.at = now;
        let allowed = self.left >= count;
        if allowed {
            self.left -= count;
        }
        allowed
    }
}

struct Store {
    ledger: u64,
    keys: BTreeMap<String, Entry>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    changes: VecDeque<(u64, String, Option<Value>)>,
    requests: Bucket,
    writes: Bucket,
}

impl Store {
    fn apply(&mut self, writes: &[(String, Option<(Value, Option<u64>)>)]) {
        self.ledger += 1;
        for (key, put) in writes {
            match put {
                Some((value, hold)) => {
                    let entry = Entry {
                        value: value.clone(),
                        stamp: self.ledger,
                        hold: *hold,
                    };
                    self.keys.insert(key.clone(), entry);
                    self.changes
                        .push_back((self.ledger, key.clone(), Some(value.clone())));
                }
                None => {
                    if self.keys.remove(key).is_some() {
                        self.changes.push_back((self.ledger, key.clone(), None));
                    }
                }
            }
        }
        while self.changes.len() > 10_000 {
            self.changes.pop_front();
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let keys: Vec<_> = self
            .keys
            .iter()
            .filter(|(_, e)| e.hold == Some(id))
            .map(|(k, _)| (k.clone(), None))
            .collect();
        if !keys.is_empty() {
            self.apply(&keys);
        }
        true
    }

    fn expire(&mut self, now: f64) -> bool {
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, l)| now > l.ends_at)
            .map(|(id, _)| *id)
            .collect();
        for id in &over {
            self.end_lease(*id);
        }
        !over.is_empty()
    }
}

pub struct StateService {
    record: Arc<Record>,
    site: Site,
    store: Mutex<Store>,
    changed: Condvar,
}

impl StateService {
    /// Starts the service. Returns its address for each controller.
    pub fn start(record: Arc<Record>, site: Site, nodes: usize) -> Vec<SocketAddr> {
        let store = Store {
            ledger: 0,
            keys: BTreeMap::new(),
            leases: HashMap::new(),
            last_lease: 0,
            changes: VecDeque::new(),
            requests: Bucket::new(site.state_rps),
            writes: Bucket::new(site.state_write_rps),
        };
        let service = Arc::new(StateService {
            record,
            site,
            store: Mutex::new(store),
            changed: Condvar::new(),
        });
        let mut addresses = Vec::new();
        for node in 0..nodes {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            addresses.push(listener.local_addr().expect("an address"));
            let service = service.clone();
            serve(
                listener,
                Arc::new(move |request| service.handle(node, &request)),
            );
        }
        let ticker = service.clone();
        std::thread::spawn(move || {
            loop {
                sleep(0.02);
                let now = ticker.record.now();
                if ticker.store.lock().unwrap().expire(now) {
                    ticker.changed.notify_all();
                }
            }
        });
        addresses
    }

    fn handle(&self, node: usize, request: &Request) -> Reply {
        sleep(0.004);
        let now = self.record.now();
        {
            let mut store = self.store.lock().unwrap();
            store.expire(now);
            if !store.requests.take(1.0, now) {
                return reply(429, map(vec![]));
            }
        }
        let segments: Vec<&str> = request
            .path
            .trim_start_matches('/')
            .splitn(2, '/')
            .collect();
        match (request.method.as_str(), segments.as_slice()) {
            ("GET", ["keys", key]) => self.get(key),
            ("GET", ["keys"]) => self.list(request),
            ("POST", ["txn"]) => self.transact(node, request),
            ("POST", ["holds"]) => self.grant(request, now),
            ("POST", ["holds", rest]) => self.renew(rest.trim_end_matches("/renew"), now),
            ("DELETE", ["holds", id]) => self.end(id),
            ("GET", ["follow"]) => self.follow(request),
            _ => reply(400, map(vec![])),
        }
    }

    fn get(&self, key: &str) -> Reply {
        let store = self.store.lock().unwrap();
        match store.keys.get(key) {
            Some(entry) => reply(200, item(key, entry)),
            None => reply(404, map(vec![("Ledger", int(store.ledger))])),
        }
    }

    fn list(&self, request: &Request) -> Reply {
        let store = self.store.lock().unwrap();
        let prefix = request.param("Under").unwrap_or("");
        let from = request.param("From");
        let page: usize = request
            .param("Page")
            .and_then(|p| p.parse().ok())
            .unwrap_or(1000)
            .min(1000);
        let mut items = Vec::new();
        let (mut size, mut more) = (0, false);
        for (key, entry) in &store.keys {
            if !key.starts_with(prefix) || from.is_some_and(|from| key.as_str() <= from) {
                continue;
            }
            let value = item(key, entry);
            size += value.json_size();
            if items.len() >= page || size > 512 * 1024 {
                more = true;
                break;
            }
            items.push(value);
        }
        let ledger = int(store.ledger);
        reply(
            200,
            map(vec![
                ("Items", Value::List(items)),
                ("More", Value::Bool(more)),
                ("Ledger", ledger),
            ]),
        )
    }

    fn transact(&self, node: usize, request: &Request) -> Reply {
        let Some(body) = Value::decode(&request.body) else {
            return reply(400, map(vec![]));
        };
        let mut writes = Vec::new();
        for write in body.list("Writes") {
            if let Some(key) = write.str("Set") {
                let value = write.get("V").cloned().unwrap_or(Value::Null);
                if value.json_size() as f64 > self.site.value_kb * 1024.0 {
                    self.record.log(
                        "state",
                        format!("400 to rung-{node}: value of {key} too large"),
                    );
                    return reply(400, map(vec![("error", text("value too large"))]));
                }
                writes.push((key.to_owned(), Some((value, write.u64("Hold")))));
            } else if let Some(key) = write.str("Remove") {
                writes.push((key.to_owned(), None));
            } else {
                return reply(400, map(vec![]));
            }
        }
        let conditions = body.list("When");
        if writes.len() > self.site.txn_ops
            || conditions.len() > 4 * self.site.txn_ops
            || body.json_size() > 64 * 1024
        {
            self.record.log(
                "state",
                format!("400 to rung-{node}: transaction too large"),
            );
            return reply(400, map(vec![("error", text("transaction too large"))]));
        }
        let now = self.record.now();
        let mut store = self.store.lock().unwrap();
        if !store.writes.take(writes.len() as f64, now) {
            return reply(429, map(vec![]));
        }
        let no_lease = writes.iter().any(
            |(_, put)| matches!(put, Some((_, Some(hold))) if !store.leases.contains_key(hold)),
        );
        if no_lease {
            return reply(400, map(vec![("error", text("no such lease"))]));
        }
        let failed: Vec<Value> = conditions
            .iter()
            .filter_map(|condition| {
                let key = condition.str("Path")?;
                let stamp = store.keys.get(key).map_or(0, |e| e.stamp);
                (condition.u64("Stamp") != Some(stamp)).then(|| text(key))
            })
            .collect();
        if !failed.is_empty() {
            let ledger = int(store.ledger);
            return reply(
                409,
                map(vec![("failed", Value::List(failed)), ("Ledger", ledger)]),
            );
        }
        if !writes.is_empty() {
            store.apply(&writes);
        }
        let ledger = store.ledger;
        drop(store);
        self.changed.notify_all();
        reply(200, map(vec![("Ledger", int(ledger))]))
    }

    fn grant(&self, request: &Request, now: f64) -> Reply {
        let life = Value::decode(&request.body)
            .and_then(|b| b.u64("LifeMs"))
            .unwrap_or(0);
        if !(100..=600_000).contains(&life) {
            return reply(400, map(vec![]));
        }
        let mut store = self.store.lock().unwrap();
        store.last_lease += 1;
        let id = store.last_lease;
        let life_s = life as f64 / 1000.0;
        store.leases.insert(
            id,
            Lease {
                life_s,
                ends_at: now + life_s,
            },
        );
        reply(200, map(vec![("Hold", int(id))]))
    }

    fn renew(&self, id: &str, now: f64) -> Reply {
        let mut store = self.store.lock().unwrap();
        match id
            .parse()
            .ok()
            .and_then(|id: u64| store.leases.get_mut(&id))
        {
            Some(lease) => {
                lease.ends_at = now + lease.life_s;
                reply(200, map(vec![]))
            }
            None => reply(404, map(vec![])),
        }
    }

    fn end(&self, id: &str) -> Reply {
        let found = id
            .parse()
            .is_ok_and(|id| self.store.lock().unwrap().end_lease(id));
        self.changed.notify_all();
        reply(if found { 200 } else { 404 }, map(vec![]))
    }

    fn follow(&self, request: &Request) -> Reply {
        let prefix = request.param("Under").unwrap_or("").to_owned();
        let from: u64 = request
            .param("From")
            .and_then(|f| f.parse().ok())
            .unwrap_or(0);
        let wait_ms: f64 = request
            .param("WaitMs")
            .and_then(|w| w.parse().ok())
            .unwrap_or(0.0f64)
            .min(60_000.0);
        let until = self.record.now() + wait_ms / 1000.0;
        let mut store = self.store.lock().unwrap();
        loop {
            let oldest = store.changes.front().map_or(0, |c| c.0);
            if store.changes.len() >= 10_000 && from + 1 < oldest {
                return reply(410, map(vec![]));
            }
            let events: Vec<Value> = store
                .changes
                .iter()
                .filter(|(stamp, key, _)| *stamp > from && key.starts_with(&prefix))
                .map(|(stamp, key, value)| match value {
                    Some(v) => map(vec![
                        ("Set", text(key)),
                        ("V", v.clone()),
                        ("Stamp", int(*stamp)),
                    ]),
                    None => map(vec![("Remove", text(key)), ("Stamp", int(*stamp))]),
                })
                .collect();
            let left = until - self.record.now();
            if !events.is_empty() || left <= 0.0 {
                let ledger = int(store.ledger);
                return reply(
                    200,
                    map(vec![("Ledger", ledger), ("Events", Value::List(events))]),
                );
            }
            let wait = Duration::from_secs_f64(left.clamp(0.005, 0.25));
            store = self.changed.wait_timeout(store, wait).unwrap().0;
        }
    }
}

fn item(key: &str, entry: &Entry) -> Value {
    let mut fields = vec![
        ("Path", text(key)),
        ("V", entry.value.clone()),
        ("Stamp", int(entry.stamp)),
    ];
    if let Some(hold) = entry.hold {
        fields.push(("Hold", int(hold)));
    }
    map(fields)
}

fn reply(status: u16, body: Value) -> Reply {
    Some((status, body.encode()))
}
